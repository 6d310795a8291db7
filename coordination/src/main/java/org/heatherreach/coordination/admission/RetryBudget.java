package org.heatherreach.coordination.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of one service to a percentage of its requests in a sliding window of 10 s. The window moves in
 * steps of one second.
 *
 * <p>Invariant: the retries in the window never exceed the sum of the slack and the percentage, rounded down, of the
 * requests that were in the window when the last of these retries was granted. Safe for use by any thread.
 */
public final class RetryBudget {
    private static final int BUCKET_COUNT = 10;
    private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long[] requests = new long[BUCKET_COUNT];
    private final long[] retries = new long[BUCKET_COUNT];
    private long currentBucket;

    /** Creates an empty budget whose window starts now. */
    public RetryBudget(long nowNanos) {
        this.currentBucket = bucketOf(nowNanos);
    }

    /** Counts a request from a caller. */
    public synchronized void countRequest(long nowNanos) {
        advanceWindow(nowNanos);
        requests[index(currentBucket)]++;
    }

    /** Takes one retry from the budget; returns false if the budget is used up. */
    public synchronized boolean tryAcquire(long nowNanos, int percent) {
        return tryAcquire(nowNanos, percent, 0, RetryUsage.NONE);
    }

    /**
     * Takes one retry from the budget; returns false if the budget is used up.
     *
     * @param percent the percentage of the requests in the window that may be retried
     * @param slack the number of retries that the window allows in addition, regardless of its requests
     * @param peerUsage the requests and retries of the other daemons that share the budget
     */
    public synchronized boolean tryAcquire(long nowNanos, int percent, int slack, RetryUsage peerUsage) {
        advanceWindow(nowNanos);
        RetryUsage totalUsage = sumOfBuckets().plus(peerUsage);
        if ((totalUsage.retries() + 1 - slack) * 100 > percent * totalUsage.requests()) {
            return false;
        }
        retries[index(currentBucket)]++;
        return true;
    }

    /** Returns the requests and retries in the window. */
    public synchronized RetryUsage usage(long nowNanos) {
        advanceWindow(nowNanos);
        return sumOfBuckets();
    }

    private RetryUsage sumOfBuckets() {
        return new RetryUsage(
                Arrays.stream(requests).sum(), Arrays.stream(retries).sum());
    }

    private void advanceWindow(long nowNanos) {
        long bucket = bucketOf(nowNanos);
        // Threads read the clock before they acquire the lock, so a time may be slightly earlier than the latest one.
        for (long next = Math.max(currentBucket + 1, bucket - BUCKET_COUNT + 1); next <= bucket; next++) {
            requests[index(next)] = 0;
            retries[index(next)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private static long bucketOf(long nowNanos) {
        return Math.floorDiv(nowNanos, BUCKET_NANOS);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKET_COUNT);
    }
}
