package org.heatherreach.coordination.atmostonce;

import java.util.List;
import java.util.OptionalLong;

import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;

/** Looks up the outcome of a key whose executor did not answer. Implementations are confined to one duty thread. */
public interface OutcomeLookup {
    /**
     * Starts a look-up for a request that could not be forwarded to the executor.
     *
     * @param fingerprint the hash of the request; empty if only the outcome is queried
     * @param members the current view of the members on this daemon
     */
    List<ExecutionAction> begin(
            ExecutionKey key, OptionalLong fingerprint, RequestId request, MemberView members, long nowNanos);

    /** Handles an answer to a query from the executor or a witness. */
    List<ExecutionAction> handleAnswer(IncarnationId from, OutcomeAnswer answer, long nowNanos);

    /** Handles a query that could not be sent to a daemon or was not answered by it. */
    List<ExecutionAction> handleQueryFailure(IncarnationId to, ExecutionKey key, long nowNanos);

    /** Ends look-ups whose timeout has expired. To be called about every 100 ms. */
    List<ExecutionAction> tick(long nowNanos);
}
