package org.heatherreach.coordination.balance;

/**
 * How many requests were dispatched out of the order by priority and deadline. Immutable and safe for use by any thread.
 *
 * @param raised the number of requests with {@link DispatchOrder#RAISED}
 * @param deferred the number of requests with {@link DispatchOrder#DEFERRED}
 */
public record ShareCounts(long raised, long deferred) {
    /** No requests. */
    public static final ShareCounts NONE = new ShareCounts(0, 0);

    /** Returns the sum of these counts and others. */
    public ShareCounts plus(ShareCounts other) {
        return new ShareCounts(raised + other.raised, deferred + other.deferred);
    }

    ShareCounts plus(DispatchOrder order) {
        return switch (order) {
            case USUAL -> this;
            case RAISED -> new ShareCounts(raised + 1, deferred);
            case DEFERRED -> new ShareCounts(raised, deferred + 1);
        };
    }
}
