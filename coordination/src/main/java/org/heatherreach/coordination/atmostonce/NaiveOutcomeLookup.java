package org.heatherreach.coordination.atmostonce;

import java.util.List;
import java.util.OptionalLong;

import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;

/**
 * The naive baseline for differential tests and measurements. If the executor of a key does not answer, the daemon that
 * received the request runs it itself. Confined to one thread.
 */
public final class NaiveOutcomeLookup implements OutcomeLookup {
    @Override
    public List<ExecutionAction> begin(
            ExecutionKey key, OptionalLong fingerprint, RequestId request, MemberView members, long nowNanos) {
        return List.of(new ExecutionAction.RunAgain(key, request));
    }

    @Override
    public List<ExecutionAction> handleAnswer(IncarnationId from, OutcomeAnswer answer, long nowNanos) {
        return List.of();
    }

    @Override
    public List<ExecutionAction> handleQueryFailure(IncarnationId to, ExecutionKey key, long nowNanos) {
        return List.of();
    }

    @Override
    public List<ExecutionAction> tick(long nowNanos) {
        return List.of();
    }
}
