package org.heatherreach.coordination.atmostonce;

import java.util.concurrent.TimeUnit;

/**
 * Limits of the records of executors and witnesses. Immutable and safe for use by any thread.
 *
 * @param keyLifetimeNanos the time from the issue of a key to its expiry
 * @param ackTimeoutNanos the time that an executor waits for an acknowledgement of its intent
 * @param activityTimeoutNanos how long an executor may dispatch after it sent the latest message that a peer answered
 * @param executionRecordLimit the maximum number of records of an executor
 * @param witnessRecordLimit the maximum number of records of a witness
 * @param totalBodyLimitBytes the maximum total size of the recorded bodies, for an executor and for a witness each
 */
public record ExecutionLimits(
        long keyLifetimeNanos,
        long ackTimeoutNanos,
        long activityTimeoutNanos,
        int executionRecordLimit,
        int witnessRecordLimit,
        long totalBodyLimitBytes) {
    /** Maximum number of requests that wait for one open attempt, including the first request. */
    static final int PENDING_REQUEST_LIMIT = 16;

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public ExecutionLimits {
        if (keyLifetimeNanos <= 0
                || ackTimeoutNanos <= 0
                || activityTimeoutNanos <= 0
                || executionRecordLimit <= 0
                || witnessRecordLimit <= 0
                || totalBodyLimitBytes <= 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /**
     * Returns the limits of the design page. 136 requests/s per daemon, a fifth of them with a key, create 16,000
     * records in 10 minutes as executor and twice as many as witness; the record limits allow three times these
     * numbers.
     */
    public static ExecutionLimits standard() {
        return new ExecutionLimits(
                TimeUnit.MINUTES.toNanos(10),
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.SECONDS.toNanos(3),
                50_000,
                100_000,
                32L << 20);
    }

    /** Returns how long a witness keeps a record: the lifetime of a key plus a tenth, which exceeds clock drift. */
    long witnessRetentionNanos() {
        return keyLifetimeNanos + keyLifetimeNanos / 10;
    }
}
