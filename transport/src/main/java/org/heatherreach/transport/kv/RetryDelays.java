package org.heatherreach.transport.kv;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How often a failed call is attempted and the delays between attempts, which double and are randomly jittered.
 * Immutable and safe for use by any thread.
 *
 * @param attemptLimit the number of attempts, including the first
 * @param firstMillis the longest delay after the first attempt
 * @param limitMillis the longest delay after any attempt
 */
public record RetryDelays(int attemptLimit, long firstMillis, long limitMillis) {
    /** Eight attempts within about 4 s: enough to reconnect to the store, but too short to wait out an outage. */
    public static final RetryDelays STANDARD = new RetryDelays(8, 100, 1000);

    /**
     * Creates delays.
     *
     * @throws IllegalArgumentException if a value is less than 1
     */
    public RetryDelays {
        if (attemptLimit < 1 || firstMillis < 1 || limitMillis < 1) {
            throw new IllegalArgumentException("attempt limit and delays must be at least 1");
        }
    }

    /** Returns a random delay to wait after an attempt; the first attempt has the number 1. */
    public Duration delayAfter(int attempt, RandomGenerator random) {
        long longestMillis = Math.min(limitMillis, firstMillis << Math.min(20, attempt - 1));
        return Duration.ofMillis(longestMillis / 2 + random.nextLong(longestMillis / 2 + 1));
    }
}
