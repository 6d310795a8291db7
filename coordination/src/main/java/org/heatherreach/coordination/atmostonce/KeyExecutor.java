package org.heatherreach.coordination.atmostonce;

import java.util.List;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * Decides on the requests with keys that one daemon incarnation issued. Implementations are confined to one duty
 * thread.
 */
public interface KeyExecutor {
    /**
     * Handles a request with a key of this daemon.
     *
     * @param fingerprint the hash of method, path and body digest
     */
    List<ExecutionAction> begin(ExecutionKey key, long fingerprint, RequestId request, long nowNanos);

    /** Handles the grant of a slot to an admitted attempt. */
    List<ExecutionAction> onSlotGranted(KeyAttempt attempt, long nowNanos);

    /** Handles the reply of a witness to an intent. */
    List<ExecutionAction> acknowledge(IncarnationId witness, IntentAck ack, long nowNanos);

    /**
     * Ends an attempt whose request did not run: no slot was granted, no connection to a backend server was
     * established, or every server shed the request.
     *
     * @param reason the reason, whose outcome is "not run"
     */
    List<ExecutionAction> refuse(KeyAttempt attempt, RefusalReason reason, long nowNanos);

    /** Ends an attempt with the complete answer of the backend server. */
    List<ExecutionAction> complete(KeyAttempt attempt, RecordedAnswer answer, long nowNanos);

    /**
     * Ends an attempt whose request may have run. The first request is refused like its retries; if a part of the
     * answer was already relayed to its caller, the owner resets the connection instead.
     *
     * @param reason the reason, whose outcome is "unknown"
     */
    List<ExecutionAction> endUnknown(KeyAttempt attempt, RefusalReason reason, long nowNanos);

    /** Answers the query of another daemon. */
    OutcomeAnswer handleQuery(OutcomeQuery query, long nowNanos);

    /** Extends the activity deadline, because a peer answered a message that was sent at the given time. */
    void extendActivityDeadline(long sentNanos);

    /** Ends attempts whose deadlines have passed and removes expired records. To be called about every 100 ms. */
    List<ExecutionAction> tick(long nowNanos);
}
