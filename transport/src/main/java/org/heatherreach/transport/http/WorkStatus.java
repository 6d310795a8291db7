package org.heatherreach.transport.http;

/**
 * The state of the estimates of work, for gauges. Immutable and safe for use by any thread.
 *
 * @param meanError the mean error of the estimates, as the absolute natural logarithm of the ratio of the time that a
 *     request took to its estimate
 * @param leftSeconds the sum over all servers of the time that they need for the requests that this daemon sent
 * @param keys the number of distributions
 */
public record WorkStatus(double meanError, double leftSeconds, int keys) {
    static final WorkStatus NONE = new WorkStatus(0, 0, 0);
}
