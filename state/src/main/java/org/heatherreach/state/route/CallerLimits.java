package org.heatherreach.state.route;

/**
 * Limits on the requests and the idle time of caller connections. Immutable and safe for use by any thread.
 *
 * @param headBytes the maximum size of a request line with its headers
 * @param bodyBytes the maximum size of a request body
 * @param headTimeoutMillis the time within which a request head has to arrive
 * @param idleTimeoutMillis the minimum time for which an idle connection is kept open
 */
public record CallerLimits(int headBytes, long bodyBytes, int headTimeoutMillis, int idleTimeoutMillis) {
    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public CallerLimits {
        if (headBytes < 1 || bodyBytes < 1 || headTimeoutMillis < 1 || idleTimeoutMillis < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
