package org.heatherreach.coordination.once;

import java.util.List;
import java.util.OptionalLong;

import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;

/** Finds the outcome of a key whose executor did not answer. Implementations are confined to one duty thread. */
public interface OutcomeLookup {
    /**
     * Starts a look-up. Call it when the request could not be forwarded to the executor.
     *
     * @param fingerprint the hash of the request; empty if only the outcome is asked for
     * @param members the members as this daemon knows them
     */
    List<OnceAction> begin(
            ExecutionKey key, OptionalLong fingerprint, RequestId request, MemberView members, long nowNanos);

    /** Handles the answer of the executor or a witness. */
    List<OnceAction> answer(IncarnationId from, OutcomeAnswer answer, long nowNanos);

    /** Takes that a daemon could not be asked. */
    List<OnceAction> fail(IncarnationId to, ExecutionKey key, long nowNanos);

    /** Ends look-ups that waited too long. Call it about every 100 ms. */
    List<OnceAction> tick(long nowNanos);
}
