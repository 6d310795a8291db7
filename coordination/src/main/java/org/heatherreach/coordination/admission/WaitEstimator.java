package org.heatherreach.coordination.admission;

/**
 * Estimates how long a queued request of one rank waits. The estimate is based on a moving average of the interval
 * between dispatches while requests are queued.
 * Confined to one thread.
 */
public final class WaitEstimator {
    /** An older interval is not used when a queue forms, because the load has changed since. */
    private static final long INTERVAL_MAX_AGE_NANOS = 5_000_000_000L;

    /** Weight of the newest interval in the exponential moving average. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private double intervalNanos;
    private long lastEventNanos;
    private boolean backlogged;

    /** Records that a queue has formed. The expected interval is used unless one was measured recently. */
    public void beginBacklog(double expectedIntervalNanos, long nowNanos) {
        if (intervalNanos <= 0 || nowNanos - lastEventNanos > INTERVAL_MAX_AGE_NANOS) {
            intervalNanos = expectedIntervalNanos;
        }
        lastEventNanos = nowNanos;
        backlogged = true;
    }

    /** Records that the queue is empty. */
    public void endBacklog(long nowNanos) {
        backlogged = false;
        lastEventNanos = nowNanos;
    }

    /** Records that a queued request was dispatched. */
    public void recordDispatch(long nowNanos) {
        if (backlogged) {
            intervalNanos += SMOOTHING_FACTOR * (nowNanos - lastEventNanos - intervalNanos);
        }
        lastEventNanos = nowNanos;
    }

    /**
     * Returns the expected wait of a request that has the given number of requests ahead of it. While requests are
     * queued, a long time since the last dispatch raises the estimate.
     */
    public long expectedWaitNanos(int requestsAhead, long nowNanos) {
        double currentIntervalNanos =
                backlogged ? Math.max(intervalNanos, SMOOTHING_FACTOR * (nowNanos - lastEventNanos)) : intervalNanos;
        return (long) ((requestsAhead + 1) * currentIntervalNanos);
    }
}
