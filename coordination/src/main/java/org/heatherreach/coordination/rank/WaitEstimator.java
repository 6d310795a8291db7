package org.heatherreach.coordination.rank;

/**
 * Estimates how long a queued request of one rank waits, from the interval between dispatches while a queue exists.
 * Confined to one thread.
 */
public final class WaitEstimator {
    /** An interval older than this is not used for a new queue, because the load has changed since. */
    private static final long RELEVANT_NANOS = 5_000_000_000L;

    private static final double WEIGHT = 0.1;

    private double intervalNanos;
    private long lastNanos;
    private boolean backlogged;

    /** Notes that a queue has formed. The expected interval is used unless one was measured shortly before. */
    public void beginBacklog(double expectedIntervalNanos, long nowNanos) {
        if (intervalNanos <= 0 || nowNanos - lastNanos > RELEVANT_NANOS) {
            intervalNanos = expectedIntervalNanos;
        }
        lastNanos = nowNanos;
        backlogged = true;
    }

    /** Notes that the queue is empty. */
    public void endBacklog(long nowNanos) {
        backlogged = false;
        lastNanos = nowNanos;
    }

    /** Notes that a queued request was dispatched. */
    public void recordDispatch(long nowNanos) {
        if (backlogged) {
            intervalNanos += WEIGHT * (nowNanos - lastNanos - intervalNanos);
        }
        lastNanos = nowNanos;
    }

    /** Returns the expected wait behind the given number of requests. */
    public long expectedWaitNanos(int ahead, long nowNanos) {
        double current = backlogged ? Math.max(intervalNanos, WEIGHT * (nowNanos - lastNanos)) : intervalNanos;
        return (long) ((ahead + 1) * current);
    }
}
