package org.heatherreach.coordination.rank;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the retries of one service to a share of its requests of the last 10 s.
 * Invariant: at every instant the retries of the window are at most the share, rounded down, of the requests of the
 * window when the last of them was taken, and the slack. Safe for use by any thread.
 */
public final class RetryBudget {
    private static final int BUCKETS = 10;
    private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long[] requests = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long currentBucket;

    /** Creates an empty budget whose window starts now. */
    public RetryBudget(long nowNanos) {
        this.currentBucket = bucketOf(nowNanos);
    }

    /** Counts a request of a caller. */
    public synchronized void countRequest(long nowNanos) {
        advance(nowNanos);
        requests[index(currentBucket)]++;
    }

    /** Takes one retry out of the budget; returns whether there was one left. */
    public synchronized boolean take(long nowNanos, int percent) {
        return take(nowNanos, percent, 0, RetryUsage.NONE);
    }

    /**
     * Takes one retry out of the budget; returns whether there was one left.
     *
     * @param percent the share of the requests of the window that may be repeated
     * @param slack the number of repeats in a window that need no requests
     * @param peers the requests and repeats of other daemons that share the budget
     */
    public synchronized boolean take(long nowNanos, int percent, int slack, RetryUsage peers) {
        advance(nowNanos);
        RetryUsage all = sum().plus(peers);
        if ((all.retries() + 1 - slack) * 100 > percent * all.requests()) {
            return false;
        }
        retries[index(currentBucket)]++;
        return true;
    }

    /** Returns the requests and repeats of the window. */
    public synchronized RetryUsage usage(long nowNanos) {
        advance(nowNanos);
        return sum();
    }

    private RetryUsage sum() {
        return new RetryUsage(
                Arrays.stream(requests).sum(), Arrays.stream(retries).sum());
    }

    private void advance(long nowNanos) {
        long bucket = bucketOf(nowNanos);
        // Callers read the clock before they take the lock, so a time may lie slightly behind the newest one.
        for (long next = Math.max(currentBucket + 1, bucket - BUCKETS + 1); next <= bucket; next++) {
            requests[index(next)] = 0;
            retries[index(next)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private static long bucketOf(long nowNanos) {
        return Math.floorDiv(nowNanos, BUCKET_NANOS);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
