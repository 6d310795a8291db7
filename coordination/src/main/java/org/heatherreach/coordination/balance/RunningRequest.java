package org.heatherreach.coordination.balance;

import org.heatherreach.coordination.work.RunningWork;
import org.heatherreach.coordination.work.ServerWork;
import org.heatherreach.coordination.work.WorkEstimator;

/**
 * A dispatched request that has not completed.
 *
 * <p>Invariant: its work is null if loads are not measured by it; it counts as stalled at most once.
 *
 * <p>Confined to one duty thread.
 */
final class RunningRequest {
    private final PoolRequest request;
    private final ServerLoad load;
    private final RunningWork work;
    private final long beginNanos;
    private boolean stalled;

    RunningRequest(PoolRequest request, ServerLoad load, RunningWork work, long beginNanos) {
        this.request = request;
        this.load = load;
        this.work = work;
        this.beginNanos = beginNanos;
    }

    PoolRequest request() {
        return request;
    }

    ServerLoad load() {
        return load;
    }

    long beginNanos() {
        return beginNanos;
    }

    boolean isStalled() {
        return stalled;
    }

    /**
     * Returns whether the request stalls and did not at the last call.
     *
     * @param poolStallNanos the time after which a request without an estimate of its own counts as stalled
     */
    boolean detectStall(long poolStallNanos, long nowNanos) {
        long ownStallNanos = work == null ? 0 : request.estimate().stallNanos();
        if (stalled || nowNanos - beginNanos <= (ownStallNanos > 0 ? ownStallNanos : poolStallNanos)) {
            return false;
        }
        stalled = true;
        return true;
    }

    /** Ends the work at the server and records what the time that it took shows. */
    void learn(PoolResult result, WorkEstimator estimator, long nowNanos) {
        if (work == null) {
            return;
        }
        ServerWork serverWork = load.work();
        serverWork.end(work);
        double tookNanos = nowNanos - beginNanos;
        if (result == PoolResult.SUCCESS) {
            // A cold server shows how slow it is, but nothing of the work as long as that is not learned.
            if (load.isWarm(nowNanos) || !request.estimate().isKnown()) {
                estimator.record(request.estimate(), tookNanos / serverWork.slowness(nowNanos), nowNanos);
            }
            serverWork.recordCompleted(request.estimate(), tookNanos, nowNanos);
        } else if (result == PoolResult.STALLED) {
            serverWork.recordAbandoned(request.estimate(), tookNanos, nowNanos);
        }
    }
}
