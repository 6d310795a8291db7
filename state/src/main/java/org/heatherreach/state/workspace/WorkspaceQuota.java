package org.heatherreach.state.workspace;

/**
 * How many requests all callers of a workspace may send to the whole fleet: a rate and a burst beyond it. Immutable and
 * safe for use by any thread.
 *
 * @param requestsPerSecond the permitted rate; 0 means no limit
 * @param burstRequests the number of requests beyond the rate that may come at once
 */
public record WorkspaceQuota(double requestsPerSecond, double burstRequests) {
    /** No limit. */
    public static final WorkspaceQuota UNLIMITED = new WorkspaceQuota(0, 0);

    /**
     * Creates a quota.
     *
     * @throws IllegalArgumentException if a number is negative or not finite
     */
    public WorkspaceQuota {
        if (!isValid(requestsPerSecond) || !isValid(burstRequests)) {
            throw new IllegalArgumentException(
                    "rate " + requestsPerSecond + " and burst " + burstRequests + " must be 0 or more");
        }
    }

    /** Returns whether there is a limit. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }

    private static boolean isValid(double number) {
        return number >= 0 && Double.isFinite(number);
    }
}
