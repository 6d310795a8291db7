package org.heatherreach.coordination.once;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;

/** What the owner of an {@link OnceExecutor} or {@link OutcomeLookup} has to do. Immutable, safe for any thread. */
public sealed interface OnceAction {
    /**
     * Lets the request take a slot or wait for one; then the attempt is prepared or refused.
     *
     * @param attempt the attempt
     * @param request the request
     */
    record Admit(KeyAttempt attempt, RequestId request) implements OnceAction {}

    /**
     * Sends an intent.
     *
     * @param witness the receiver
     * @param intent the content
     */
    record SendIntent(IncarnationId witness, Intent intent) implements OnceAction {}

    /**
     * Sends the request to a server, once. The attempt is then completed, lost or refused.
     *
     * @param attempt the attempt
     * @param request the request
     */
    record Dispatch(KeyAttempt attempt, RequestId request) implements OnceAction {}

    /**
     * Sends an outcome copy.
     *
     * @param witness the receiver
     * @param copy the content
     */
    record SendOutcome(IncarnationId witness, OutcomeCopy copy) implements OnceAction {}

    /**
     * Keeps a retry waiting; it is answered when the first request ends.
     *
     * @param request the retry
     */
    record Wait(RequestId request) implements OnceAction {}

    /**
     * Answers a request with a recorded answer.
     *
     * @param request the request
     * @param answer the answer
     */
    record Replay(RequestId request, RecordedAnswer answer) implements OnceAction {}

    /**
     * Refuses a request; the reason carries the outcome.
     *
     * @param request the request
     * @param reason the reason
     */
    record Refuse(RequestId request, RefusalReason reason) implements OnceAction {}

    /**
     * Sends a query.
     *
     * @param to the executor or a witness
     * @param query the content
     */
    record SendQuery(IncarnationId to, OutcomeQuery query) implements OnceAction {}

    /**
     * Runs a request whose executor is gone on this daemon. Only the naive version does this.
     *
     * @param key the key
     * @param request the request
     */
    record RunAgain(ExecutionKey key, RequestId request) implements OnceAction {}
}
