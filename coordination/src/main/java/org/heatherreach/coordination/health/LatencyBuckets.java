package org.heatherreach.coordination.health;

/**
 * The sixteen logarithmic latency buckets: bucket 0 is below 1 ms, each next one doubles, bucket 15 is open above 16 s.
 * Stateless and safe for use by any thread.
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

    /** Returns the upper limit of a bucket; of the last one twice its lower limit. */
    public static long upperLimitNanos(int bucket) {
        return FIRST_LIMIT_NANOS << bucket;
    }
}
