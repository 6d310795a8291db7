package org.heatherreach.coordination.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of one service to a percentage of its requests in a sliding window of 10 s. The window moves in
 * steps of one second.
 *
 * <p>Invariant: the retries in the window never exceed the sum of the slack and the percentage, rounded down, of the
 * requests that were in the window when the last of these retries was granted. A retry by urgency leaves what more urgent
 * requests asked for lately. Safe for use by any thread.
 */
public final class RetryBudget {
    private static final int BUCKET_COUNT = 10;
    private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Priorities from this one on are reserved for together. */
    private static final int PRIORITY_COUNT = 4;
    /** The buckets from which the demand of more urgent requests is projected to a whole window. */
    private static final int PROJECTED_BUCKETS = 2;

    private final long[] requests = new long[BUCKET_COUNT];
    private final long[] retries = new long[BUCKET_COUNT];
    /** The retries that requests asked for, by bucket and priority, whether they got them or not. */
    private final long[][] wanted = new long[BUCKET_COUNT][PRIORITY_COUNT];

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
        return tryAcquireLeaving(0, percent, slack, peerUsage);
    }

    /**
     * Takes one retry from the budget for a request of a priority, unless more urgent requests are likely to need it;
     * returns false if it is not available.
     *
     * @param priority the priority of the request; 0 is the most urgent
     */
    public synchronized boolean tryAcquireByUrgency(
            long nowNanos, int percent, int slack, RetryUsage peerUsage, int priority) {
        advanceWindow(nowNanos);
        int level = Math.min(priority, PRIORITY_COUNT - 1);
        wanted[index(currentBucket)][level]++;
        return tryAcquireLeaving(demandBefore(level, peerUsage), percent, slack, peerUsage);
    }

    private boolean tryAcquireLeaving(long reserved, int percent, int slack, RetryUsage peerUsage) {
        RetryUsage totalUsage = sumOfBuckets().plus(peerUsage);
        if ((totalUsage.retries() + reserved + 1 - slack) * 100 > percent * totalUsage.requests()) {
            return false;
        }
        retries[index(currentBucket)]++;
        return true;
    }

    /**
     * Returns the retries that more urgent requests are likely to ask for within a window at all daemons that share the
     * budget, of which this one sees its part of the requests. Retries that are taken now come back only after a window.
     */
    private long demandBefore(int level, RetryUsage peerUsage) {
        long own = 0;
        for (long bucket = currentBucket - PROJECTED_BUCKETS + 1; bucket <= currentBucket; bucket++) {
            for (int more = 0; more < level; more++) {
                own += wanted[index(bucket)][more];
            }
        }
        long ownRequests = Math.max(1, Arrays.stream(requests).sum());
        long fleet = own * (ownRequests + peerUsage.requests()) / ownRequests;
        return fleet * BUCKET_COUNT / PROJECTED_BUCKETS;
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
            Arrays.fill(wanted[index(next)], 0);
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
