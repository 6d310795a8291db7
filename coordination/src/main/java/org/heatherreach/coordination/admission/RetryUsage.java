package org.heatherreach.coordination.admission;

/**
 * The number of requests of a service in the window of a retry budget, and of their retries. Immutable and safe for use
 * by any thread.
 *
 * @param requests the number of requests from callers
 * @param retries the number of retries that were sent to backend servers
 */
public record RetryUsage(long requests, long retries) {
    /** No requests and no retries. */
    public static final RetryUsage NONE = new RetryUsage(0, 0);

    /** Returns the sum of this usage and another one. */
    public RetryUsage plus(RetryUsage other) {
        return new RetryUsage(requests + other.requests, retries + other.retries);
    }
}
