package org.heatherreach.coordination.work;

/**
 * A request that runs at a server. Equal only to itself, since two requests with the same estimate may begin at the same
 * time. Immutable.
 */
public final class RunningWork {
    private final WorkEstimate estimate;
    private final long beginNanos;

    RunningWork(WorkEstimate estimate, long beginNanos) {
        this.estimate = estimate;
        this.beginNanos = beginNanos;
    }

    WorkEstimate estimate() {
        return estimate;
    }

    long beginNanos() {
        return beginNanos;
    }
}
