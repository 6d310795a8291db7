package org.heatherreach.coordination.atmostonce;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * An action that a {@link KeyExecutor} or {@link OutcomeLookup} requests from its owner, which is the component that
 * calls it and performs the I/O. Immutable and safe for use by any thread.
 */
public sealed interface ExecutionAction {
    /**
     * Acquires a slot for the request or queues it for one. The owner then calls {@link KeyExecutor#onSlotGranted} or
     * {@link KeyExecutor#refuse}.
     *
     * @param attempt the admitted attempt
     * @param request the request
     */
    record Admit(KeyAttempt attempt, RequestId request) implements ExecutionAction {}

    /**
     * Sends an intent to a witness.
     *
     * @param witness the receiver
     * @param intent the intent
     */
    record SendIntent(IncarnationId witness, Intent intent) implements ExecutionAction {}

    /**
     * Sends the request to a backend server, once. The owner then calls {@link KeyExecutor#complete},
     * {@link KeyExecutor#endUnknown} or {@link KeyExecutor#refuse}.
     *
     * @param attempt the attempt
     * @param request the request
     */
    record Dispatch(KeyAttempt attempt, RequestId request) implements ExecutionAction {}

    /**
     * Sends an outcome copy to a witness.
     *
     * @param witness the receiver
     * @param copy the outcome copy
     */
    record SendOutcome(IncarnationId witness, OutcomeCopy copy) implements ExecutionAction {}

    /**
     * Keeps a retry waiting until the attempt that serves the first request ends.
     *
     * @param request the retry
     */
    record Wait(RequestId request) implements ExecutionAction {}

    /**
     * Answers a request with a recorded answer.
     *
     * @param request the request
     * @param answer the answer
     */
    record Replay(RequestId request, RecordedAnswer answer) implements ExecutionAction {}

    /**
     * Refuses a request.
     *
     * @param request the request
     * @param reason the reason, which determines the outcome that the caller receives
     */
    record Refuse(RequestId request, RefusalReason reason) implements ExecutionAction {}

    /**
     * Sends an outcome query.
     *
     * @param to the receiver, which is the executor or a witness
     * @param query the query
     */
    record SendQuery(IncarnationId to, OutcomeQuery query) implements ExecutionAction {}

    /**
     * Runs a request on this daemon because its executor did not answer. Only {@link NaiveOutcomeLookup} requests this.
     *
     * @param key the key
     * @param request the request
     */
    record RunAgain(ExecutionKey key, RequestId request) implements ExecutionAction {}
}
