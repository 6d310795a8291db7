package org.heatherreach.coordination.health;

/**
 * The sixteen logarithmic latency buckets. Bucket 0 holds latencies below 1 ms, the upper limit doubles from one bucket
 * to the next, and bucket 15 holds all latencies from 16.384 s. Stateless and safe for use by any thread.
 */
public final class LatencyBuckets {
    /** The number of buckets. */
    public static final int COUNT = 16;

    private static final long FIRST_LIMIT_NANOS = 1_000_000;

    private LatencyBuckets() {}

    /** Returns the bucket of a latency. */
    public static int indexOf(long latencyNanos) {
        if (latencyNanos < FIRST_LIMIT_NANOS) {
            return 0;
        }
        int doublings = 63 - Long.numberOfLeadingZeros(latencyNanos / FIRST_LIMIT_NANOS);
        return Math.min(COUNT - 1, doublings + 1);
    }

    /** Returns the upper limit of a bucket. For the last bucket, which has none, this is twice its lower limit. */
    public static long upperLimitNanos(int bucket) {
        return FIRST_LIMIT_NANOS << bucket;
    }
}
