package org.heatherreach.coordination.balance;

import java.util.Objects;
import java.util.Set;

import org.heatherreach.state.id.ServerId;

/**
 * A request that needs a server. Immutable and safe for use by any thread.
 *
 * @param ticket identifies the request in the pool
 * @param priority the order in which requests wait; 0 is the most urgent
 * @param idempotent whether it may run more than once
 * @param largeAnswer whether its answer should stay in the availability zone
 * @param submittedNanos when it began to wait
 * @param deadlineNanos when its caller stops waiting
 * @param tried the servers that failed it before
 */
public record PoolRequest(
        long ticket,
        int priority,
        boolean idempotent,
        boolean largeAnswer,
        long submittedNanos,
        long deadlineNanos,
        Set<ServerId> tried) {
    /** Creates a request. */
    public PoolRequest {
        Objects.requireNonNull(tried, "tried");
    }
}
