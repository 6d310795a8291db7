package org.heatherreach.coordination.balance;

import java.util.Objects;
import java.util.Set;

import org.heatherreach.coordination.work.WorkEstimate;
import org.heatherreach.state.id.ServerId;

/**
 * A request that is to be dispatched to a server. Immutable and safe for use by any thread.
 *
 * @param ticket identifies the request in the pool
 * @param priority the priority in the queue; 0 is the most urgent
 * @param idempotent whether the request may run more than once
 * @param largeAnswer whether the answer is expected to be so large that it should stay in the availability zone
 * @param submittedNanos when the request was submitted, on the monotonic clock
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 * @param tried the servers that failed earlier attempts of the request
 * @param estimate the expected work of the request; only used if loads are measured by it
 */
public record PoolRequest(
        long ticket,
        int priority,
        boolean idempotent,
        boolean largeAnswer,
        long submittedNanos,
        long deadlineNanos,
        Set<ServerId> tried,
        WorkEstimate estimate) {
    /** Creates a request. */
    public PoolRequest {
        Objects.requireNonNull(tried, "tried");
        Objects.requireNonNull(estimate, "estimate");
    }

    /** Creates a request of unknown work. */
    public PoolRequest(
            long ticket,
            int priority,
            boolean idempotent,
            boolean largeAnswer,
            long submittedNanos,
            long deadlineNanos,
            Set<ServerId> tried) {
        this(ticket, priority, idempotent, largeAnswer, submittedNanos, deadlineNanos, tried, WorkEstimate.unknown());
    }
}
