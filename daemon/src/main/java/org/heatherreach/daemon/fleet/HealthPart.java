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
 * The health state of one service part: the decisions of this daemon and, if this daemon owns the part, the outlier
 * detector.
 * Confined to the duty thread.
 */
final class HealthPart {
    private final PartId id;
    private final PooledHealth health;
    private final LeavingServers leaving = new LeavingServers();
    private final List<ProbeResult> probeResults = new ArrayList<>();
    private ServiceLimits limits;
    private OutlierDetector outlierDetector;
    private IncarnationId owner;
    private Set<ServerId> listed = Set.of();
    private Set<ServerId> detectorServers = Set.of();
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

    /** Returns the outlier detector, or null if another daemon owns the part. */
    OutlierDetector outlierDetector() {
        return outlierDetector;
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

    /** Replaces the listed servers and those of them that the VM list marks as leaving. */
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

    /** Sets the owner, which may be null. Updates the detector if this daemon owns the part, and drops it otherwise. */
    void updateOwner(IncarnationId newOwner, boolean owned, long nowNanos) {
        owner = newOwner;
        if (!owned) {
            outlierDetector = null;
            return;
        }
        boolean added = outlierDetector == null;
        if (added) {
            outlierDetector = new OutlierDetector(id.service(), id.part());
        }
        if (added || !detectorServers.equals(listed)) {
            detectorServers = listed;
            outlierDetector.updateServers(listed, nowNanos);
        }
    }

    void addProbeResult(ServerId server, boolean healthy) {
        probeResults.add(ProbeResult.newBuilder()
                .setServer(server.value())
                .setHealthy(healthy)
                .build());
    }

    /** Returns and clears the results of probes since the previous call. */
    List<ProbeResult> takeProbeResults() {
        List<ProbeResult> taken = List.copyOf(probeResults);
        probeResults.clear();
        return taken;
    }

    /** Notes that the owner ignores the evidence of this daemon as faulty; returns whether that is new. */
    boolean markFaulty(long deadlineNanos) {
        boolean changed = !faulty;
        faulty = true;
        faultyDeadlineNanos = deadlineNanos;
        return changed;
    }

    /** Ends the faulty state after its deadline; returns whether it ended. */
    boolean expireFaulty(long nowNanos) {
        if (!faulty || nowNanos - faultyDeadlineNanos < 0) {
            return false;
        }
        faulty = false;
        return true;
    }
}
