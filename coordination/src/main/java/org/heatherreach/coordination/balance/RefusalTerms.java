package org.heatherreach.coordination.balance;

import org.heatherreach.coordination.admission.RetryHint;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * A refusal whose random delay has not been drawn. Immutable and safe for use by any thread.
 *
 * @param reason why the request is refused
 * @param quietMillis the part of the delay that is not random
 * @param expectedWaitNanos the expected wait from which the rest of the delay is drawn
 */
record RefusalTerms(RefusalReason reason, long quietMillis, long expectedWaitNanos) {
    /** Draws the delay and returns the refusal of a request. */
    PoolAction.Refuse refuse(PoolRequest request, RetryHint retryHint) {
        return new PoolAction.Refuse(
                request.ticket(),
                reason,
                quietMillis + retryHint.randomDelayMillis(expectedWaitNanos, request.priority()));
    }

    PoolForecast.Refusal toForecast(PoolRequest request, RetryHint retryHint) {
        return new PoolForecast.Refusal(
                reason,
                quietMillis + retryHint.minDelayMillis(expectedWaitNanos, request.priority()),
                quietMillis + retryHint.maxDelayMillis(expectedWaitNanos, request.priority()));
    }
}
