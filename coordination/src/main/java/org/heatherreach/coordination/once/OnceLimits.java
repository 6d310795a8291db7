package org.heatherreach.coordination.once;

import java.util.concurrent.TimeUnit;

/**
 * Limits of the records. Immutable and safe for use by any thread.
 *
 * @param keyLifeNanos the time from issue to expiry
 * @param ackTimeoutNanos the time that the executor waits for an acknowledgement of its intent
 * @param activityNanos the time that an acknowledgement from a peer lets the executor dispatch
 * @param executionLimit the number of records that an executor holds
 * @param witnessLimit the number of records that a witness holds
 * @param bodyLimitBytes the bytes of recorded bodies that an executor, and a witness, holds
 */
public record OnceLimits(
        long keyLifeNanos,
        long ackTimeoutNanos,
        long activityNanos,
        int executionLimit,
        int witnessLimit,
        long bodyLimitBytes) {
    /** Number of retries that wait for one running request. */
    static final int WAITER_LIMIT = 16;

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public OnceLimits {
        if (keyLifeNanos <= 0
                || ackTimeoutNanos <= 0
                || activityNanos <= 0
                || executionLimit <= 0
                || witnessLimit <= 0
                || bodyLimitBytes <= 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /**
     * Returns the limits of the design page. 136 requests/s per daemon, a fifth of them keyed, make 16,000 records in
     * 10 minutes as executor and twice as many as witness; the record limits leave room for three times that.
     */
    public static OnceLimits standard() {
        return new OnceLimits(
                TimeUnit.MINUTES.toNanos(10),
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.SECONDS.toNanos(3),
                50_000,
                100_000,
                32L << 20);
    }

    /** Returns how long a witness keeps a record; longer than a key lives, by more than clocks drift in that time. */
    long witnessRetentionNanos() {
        return keyLifeNanos + keyLifeNanos / 10;
    }
}
