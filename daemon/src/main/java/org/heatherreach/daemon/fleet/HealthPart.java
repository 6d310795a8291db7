package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.heatherreach.coordination.health.HealthAction;
import org.heatherreach.coordination.health.OutlierDetector;
import org.heatherreach.coordination.health.PooledHealth;
import org.heatherreach.coordination.owner.PartId;
import org.heatherreach.protocol.peer.wire.ProbeResult;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.table.ServiceLimits;

/**
 * One service part in the health duty: the decisions of this daemon and, if this daemon owns the part, the judge.
 * Confined to the duty thread.
 */
final class HealthPart {
    private final PartId id;
    private final PooledHealth health;
    private final LeavingServers leaving = new LeavingServers();
    private final List<ProbeResult> probes = new ArrayList<>();
    private ServiceLimits limits;
    private OutlierDetector judge;
    private IncarnationId owner;
    private Set<ServerId> listed = Set.of();
    private Set<ServerId> judged = Set.of();
    private Set<ServerId> unavailable = Set.of();
    private long faultyDeadlineNanos;
    private boolean faulty;

    HealthPart(PartId id, PooledHealth health, ServiceLimits limits) {
        this.id = Objects.requireNonNull(id, "id");
        this.health = Objects.requireNonNull(health, "health");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    PartId id() {
        return id;
    }

    PooledHealth health() {
        return health;
    }

    LeavingServers leaving() {
        return leaving;
    }

    /** Returns the judge, or null if another daemon owns the part. */
    OutlierDetector judge() {
        return judge;
    }

    /** Returns the owner, or null if there is none. */
    IncarnationId owner() {
        return owner;
    }

    Set<ServerId> unavailable() {
        return unavailable;
    }

    List<HealthAction> updateLimits(ServiceLimits newLimits, long nowNanos) {
        if (newLimits.equals(limits)) {
            return List.of();
        }
        limits = newLimits;
        return health.updateLimits(newLimits, nowNanos);
    }

    /** Takes the listed servers and those of them that the list calls leaving. */
    List<HealthAction> updateServers(Set<ServerId> newListed, Set<ServerId> listedLeaving, long nowNanos) {
        leaving.retain(newListed);
        Set<ServerId> newUnavailable = new HashSet<>(listedLeaving);
        newUnavailable.addAll(leaving.all());
        if (newListed.equals(listed) && newUnavailable.equals(unavailable)) {
            return List.of();
        }
        listed = newListed;
        unavailable = newUnavailable;
        return health.updateServers(newListed, newUnavailable, nowNanos);
    }

    /** Sets the owner, or null, and brings the judge of an owned part up to date. */
    void updateOwner(IncarnationId newOwner, boolean owned, long nowNanos) {
        owner = newOwner;
        if (!owned) {
            judge = null;
            return;
        }
        boolean added = judge == null;
        if (added) {
            judge = new OutlierDetector(id.service(), id.part());
        }
        if (added || !judged.equals(listed)) {
            judged = listed;
            judge.updateServers(listed, nowNanos);
        }
    }

    void addProbe(ServerId server, boolean healthy) {
        probes.add(ProbeResult.newBuilder()
                .setServer(server.value())
                .setHealthy(healthy)
                .build());
    }

    /** Returns the results of probes since the previous call. */
    List<ProbeResult> takeProbes() {
        List<ProbeResult> taken = List.copyOf(probes);
        probes.clear();
        return taken;
    }

    /** Notes that the owner calls this daemon faulty; returns whether that is new. */
    boolean noteFaulty(long deadlineNanos) {
        boolean changed = !faulty;
        faulty = true;
        faultyDeadlineNanos = deadlineNanos;
        return changed;
    }

    /** Returns whether the owner stopped to call this daemon faulty. */
    boolean expireFaulty(long nowNanos) {
        if (!faulty || nowNanos - faultyDeadlineNanos < 0) {
            return false;
        }
        faulty = false;
        return true;
    }
}
