package org.heatherreach.daemon.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.ServerId;

/**
 * The servers of one service part that are draining, by the source of the news: this daemon's own exchanges, the reports
 * of other daemons, or the owner of the part. The owner passes on the first two only, so that two owners can't keep a
 * server out of use by repeating each other's news. Confined to one duty thread.
 */
final class LeavingServers {
    /** Answers stop with the new work, so what this daemon saw itself holds for a while after its last sign. */
    private static final long SIGHTED_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** News of others is repeated each second; it outlasts several lost messages. */
    private static final long TOLD_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<ServerId, Long> sightedDeadlines = new HashMap<>();
    private final Map<ServerId, Long> reportedDeadlines = new HashMap<>();
    private final Map<ServerId, Long> announcedDeadlines = new HashMap<>();

    /** Notes that the server itself said that it is draining; returns whether this daemon had not seen it before. */
    boolean sight(ServerId server, long nowNanos) {
        return sightedDeadlines.put(server, nowNanos + SIGHTED_NANOS) == null;
    }

    boolean isSighted(ServerId server) {
        return sightedDeadlines.containsKey(server);
    }

    /** Notes what a daemon reported to the owner; returns whether the owner did not know it. */
    boolean report(Collection<ServerId> servers, long nowNanos) {
        return note(reportedDeadlines, servers, nowNanos);
    }

    /** Notes what an owner announced; returns whether this daemon did not know it. */
    boolean announce(Collection<ServerId> servers, long nowNanos) {
        return note(announcedDeadlines, servers, nowNanos);
    }

    private static boolean note(Map<ServerId, Long> deadlines, Collection<ServerId> servers, long nowNanos) {
        boolean changed = false;
        for (ServerId server : servers) {
            changed |= deadlines.put(server, nowNanos + TOLD_NANOS) == null;
        }
        return changed;
    }

    /** Drops what is out of date; returns whether anything was. */
    boolean expire(long nowNanos) {
        boolean changed = sightedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
        changed |= reportedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
        changed |= announcedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
        return changed;
    }

    /** Drops servers that are no longer listed. */
    void retain(Set<ServerId> listed) {
        sightedDeadlines.keySet().retainAll(listed);
        reportedDeadlines.keySet().retainAll(listed);
        announcedDeadlines.keySet().retainAll(listed);
    }

    /** Returns what this daemon reports to the owner. */
    Set<ServerId> sighted() {
        return Set.copyOf(sightedDeadlines.keySet());
    }

    /** Returns what the owner announces. */
    Set<ServerId> announceable() {
        Set<ServerId> servers = new HashSet<>(sightedDeadlines.keySet());
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
