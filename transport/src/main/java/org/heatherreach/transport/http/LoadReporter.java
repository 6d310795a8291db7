package org.heatherreach.transport.http;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.heatherreach.coordination.balance.PoolPolicy;
import org.heatherreach.coordination.balance.ServerPool;
import org.heatherreach.transport.duty.DutyThread;

/**
 * Reports the loads of this daemon's pools to the peers of its zone and to those of other zones when a report is due.
 *
 * <p>Invariant: answers and rejections are reported to the peers of the same zone only, and once.
 *
 * <p>Confined to one duty thread.
 */
final class LoadReporter {
    private final PoolPeers peers;
    private final PoolPolicy policy;
    private final LoadReportSchedule sameZoneReports;
    private final LoadReportSchedule otherZonesReports;

    LoadReporter(PoolPeers peers, PoolPolicy policy, long nowNanos) {
        this.peers = Objects.requireNonNull(peers, "peers");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.sameZoneReports = new LoadReportSchedule(peers, true, nowNanos);
        this.otherZonesReports = new LoadReportSchedule(peers, false, nowNanos);
    }

    /** Returns whether a report to the peers in the same zone is due. */
    boolean isSameZoneDue(long nowNanos) {
        return sameZoneReports.isDue(nowNanos);
    }

    /** Sends the reports that are due. */
    void reportDue(Collection<ServerPool> pools, long nowNanos) {
        if (sameZoneReports.isDue(nowNanos)) {
            sameZoneReports.reported(nowNanos, reportTo(pools, true, sameZoneReports.hadLoads()));
        }
        if (otherZonesReports.isDue(nowNanos)) {
            otherZonesReports.reported(nowNanos, reportTo(pools, false, otherZonesReports.hadLoads()));
        }
    }

    /** Makes the next report to the peers in the same zone due earlier, and the next tick of the duty thread with it. */
    void advanceSameZone(DutyThread<?> duty, long nowNanos) {
        sameZoneReports.advance(nowNanos);
        duty.advanceTickTo(sameZoneReports.dueNanos());
    }

    /** Makes the next tick of a duty thread early enough for the next reports. */
    void advanceTick(DutyThread<?> duty) {
        duty.advanceTickTo(sameZoneReports.dueNanos());
        duty.advanceTickTo(otherZonesReports.dueNanos());
    }

    /**
     * Reports the loads and returns whether there were any. An empty report is sent only after a report with loads, to
     * clear them, or for the state that goes with it; further empty reports would add nothing.
     */
    private boolean reportTo(Collection<ServerPool> pools, boolean sameZone, boolean reportedBefore) {
        Map<Integer, Integer> loads = new HashMap<>();
        pools.forEach(pool -> pool.addLoads(loads));
        Set<Integer> answered = new HashSet<>();
        if (sameZone) {
            pools.forEach(pool -> pool.drainAnswers(answered));
        }
        if (!loads.isEmpty() || reportedBefore || peers.hasUnreportedChange(sameZone)) {
            if (policy.reportsRejections()) {
                Map<Integer, Long> workLeft = new HashMap<>();
                if (policy.measuresWork()) {
                    long nowNanos = System.nanoTime();
                    pools.forEach(pool -> pool.addWorkLeft(workLeft, nowNanos));
                }
                peers.reportLoads(loads, workLeft, answered, drainRejections(pools, sameZone), sameZone);
            } else {
                peers.reportLoads(loads, answered, sameZone);
            }
        }
        return !loads.isEmpty();
    }

    private static Set<Integer> drainRejections(Collection<ServerPool> pools, boolean sameZone) {
        Set<Integer> rejecting = new HashSet<>();
        if (sameZone) {
            pools.forEach(pool -> pool.drainRejections(rejecting));
        }
        return rejecting;
    }
}
