package org.heatherreach.coordination.rank;

/**
 * The requests of a service in the window of a retry budget, and the repeats of them. Immutable and safe for use by any
 * thread.
 *
 * @param requests the requests of callers
 * @param retries the repeats that were sent
 */
public record RetryUsage(long requests, long retries) {
    /** Nothing. */
    public static final RetryUsage NONE = new RetryUsage(0, 0);

    /** Returns the sum of both. */
    public RetryUsage plus(RetryUsage other) {
        return new RetryUsage(requests + other.requests, retries + other.retries);
    }
}
