package org.heatherreach.transport.kv;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How often a failed call is repeated, and the delays in between, which double and are randomly jittered. Immutable and
 * safe for use by any thread.
 *
 * @param attemptLimit the number of attempts, the first included
 * @param firstMillis the longest delay after the first attempt
 * @param limitMillis the longest delay
 */
public record RetryDelays(int attemptLimit, long firstMillis, long limitMillis) {
    /** Eight attempts within about 4 s, which outlasts a restart of the store's connections but not an outage. */
    public static final RetryDelays STANDARD = new RetryDelays(8, 100, 1000);

    /**
     * Creates delays.
     *
     * @throws IllegalArgumentException if a value is less than 1
     */
    public RetryDelays {
        if (attemptLimit < 1 || firstMillis < 1 || limitMillis < 1) {
            throw new IllegalArgumentException("attempts and delays must be at least 1");
        }
    }

    /** Returns the delay after an attempt, of which the first has the number 1. */
    public Duration after(int attempt, RandomGenerator random) {
        long longestMillis = Math.min(limitMillis, firstMillis << Math.min(20, attempt - 1));
        return Duration.ofMillis(longestMillis / 2 + random.nextLong(longestMillis / 2 + 1));
    }
}
