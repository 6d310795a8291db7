package org.heatherreach.coordination.once;

import java.util.List;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;

/** Runs the keys of one daemon incarnation. Implementations are confined to one duty thread. */
public interface OnceExecutor {
    /**
     * Takes a request with a key of this daemon.
     *
     * @param fingerprint the hash of method, path and body digest
     */
    List<OnceAction> begin(ExecutionKey key, long fingerprint, RequestId request, long nowNanos);

    /** Takes that an admitted attempt has its slot. */
    List<OnceAction> prepare(KeyAttempt attempt, long nowNanos);

    /** Handles the answer of a witness to an intent. */
    List<OnceAction> acknowledge(IncarnationId witness, IntentAck ack, long nowNanos);

    /**
     * Ends an attempt that did not run: it got no slot, no connection was established, or every server shed it.
     *
     * @param reason the reason, whose outcome is "not run"
     */
    List<OnceAction> refuse(KeyAttempt attempt, RefusalReason reason, long nowNanos);

    /** Takes the complete answer of the server. */
    List<OnceAction> complete(KeyAttempt attempt, RecordedAnswer answer, long nowNanos);

    /**
     * Ends an attempt that may have run. Its first request is refused like its retries; if a part of the answer was
     * relayed already, the owner resets that connection instead.
     *
     * @param reason the reason, whose outcome is "unknown"
     */
    List<OnceAction> lose(KeyAttempt attempt, RefusalReason reason, long nowNanos);

    /** Answers another daemon. */
    OutcomeAnswer query(OutcomeQuery query, long nowNanos);

    /** Takes that a peer answered a message that was sent at the given time. */
    void extendActivity(long sentNanos);

    /** Ends what fell due. Call it about every 100 ms. */
    List<OnceAction> tick(long nowNanos);
}
