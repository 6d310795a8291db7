package org.heatherreach.daemon.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.ServerId;

/**
 * The servers of one service part that are draining, by the source of the information: this daemon's own exchanges and
 * probes, the reports of other daemons, or the owner of the part. The owner announces servers of the first two sources
 * only; otherwise two owners could keep a server out of use by repeating each other's announcements. Confined to one
 * duty thread.
 */
final class LeavingServers {
    /**
     * A draining server gets no new work and so stops sending drain notices; the mark outlasts the last one by this.
     */
    private static final long OBSERVED_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Reports and announcements are repeated each second; a mark survives the loss of several of them. */
    private static final long RECEIVED_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<ServerId, Long> observedDeadlines = new HashMap<>();
    private final Map<ServerId, Long> reportedDeadlines = new HashMap<>();
    private final Map<ServerId, Long> announcedDeadlines = new HashMap<>();

    /** Marks a server that stated to this daemon that it is draining; returns whether it was not marked so before. */
    boolean markObserved(ServerId server, long nowNanos) {
        return observedDeadlines.put(server, nowNanos + OBSERVED_EXPIRY_NANOS) == null;
    }

    boolean isObserved(ServerId server) {
        return observedDeadlines.containsKey(server);
    }

    /** Marks servers that a daemon reported to this owner; returns whether any was not marked so before. */
    boolean markReported(Collection<ServerId> servers, long nowNanos) {
        return extendDeadlines(reportedDeadlines, servers, nowNanos);
    }

    /** Marks servers that the owner announced; returns whether any was not marked so before. */
    boolean markAnnounced(Collection<ServerId> servers, long nowNanos) {
        return extendDeadlines(announcedDeadlines, servers, nowNanos);
    }

    private static boolean extendDeadlines(Map<ServerId, Long> deadlines, Collection<ServerId> servers, long nowNanos) {
        boolean changed = false;
        for (ServerId server : servers) {
            changed |= deadlines.put(server, nowNanos + RECEIVED_EXPIRY_NANOS) == null;
        }
        return changed;
    }

    /** Removes expired marks; returns whether there were any. */
    boolean expire(long nowNanos) {
        boolean changed = observedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
        changed |= reportedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
        changed |= announcedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
        return changed;
    }

    /** Removes servers that are no longer listed. */
    void retain(Set<ServerId> listed) {
        observedDeadlines.keySet().retainAll(listed);
        reportedDeadlines.keySet().retainAll(listed);
        announcedDeadlines.keySet().retainAll(listed);
    }

    /** Returns the servers that this daemon reports to the owner. */
    Set<ServerId> observed() {
        return Set.copyOf(observedDeadlines.keySet());
    }

    /** Returns the servers that this daemon announces as the owner. */
    Set<ServerId> announceable() {
        Set<ServerId> servers = new HashSet<>(observedDeadlines.keySet());
        servers.addAll(reportedDeadlines.keySet());
        return servers;
    }

    /** Returns every server that is known to be draining. */
    Set<ServerId> all() {
        Set<ServerId> servers = announceable();
        servers.addAll(announcedDeadlines.keySet());
        return servers;
    }
}
