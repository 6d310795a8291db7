package org.heatherreach.coordination.atmostonce;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * The naive baseline for differential tests and measurements. It dispatches every request with a key that it has no
 * answer for, without witnesses. Confined to one thread.
 */
public final class NaiveExecutionRecords implements KeyExecutor {
    private final Map<ExecutionKey, RecordedAnswer> answers = new HashMap<>();
    private final Map<KeyAttempt, RequestId> admittedRequests = new HashMap<>();
    private int lastAttemptNumber;

    @Override
    public List<ExecutionAction> begin(ExecutionKey key, long fingerprint, RequestId request, long nowNanos) {
        RecordedAnswer answer = answers.get(key);
        if (answer != null) {
            return List.of(new ExecutionAction.Replay(request, answer));
        }
        KeyAttempt attempt = new KeyAttempt(key, ++lastAttemptNumber);
        admittedRequests.put(attempt, request);
        return List.of(new ExecutionAction.Admit(attempt, request));
    }

    @Override
    public List<ExecutionAction> onSlotGranted(KeyAttempt attempt, long nowNanos) {
        return List.of(new ExecutionAction.Dispatch(attempt, admittedRequests.remove(attempt)));
    }

    @Override
    public List<ExecutionAction> acknowledge(IncarnationId witness, IntentAck ack, long nowNanos) {
        return List.of();
    }

    @Override
    public List<ExecutionAction> refuse(KeyAttempt attempt, RefusalReason reason, long nowNanos) {
        return List.of();
    }

    @Override
    public List<ExecutionAction> complete(KeyAttempt attempt, RecordedAnswer answer, long nowNanos) {
        answers.put(attempt.key(), answer);
        return List.of();
    }

    @Override
    public List<ExecutionAction> endUnknown(KeyAttempt attempt, RefusalReason reason, long nowNanos) {
        return List.of();
    }

    @Override
    public OutcomeAnswer handleQuery(OutcomeQuery query, long nowNanos) {
        RecordedAnswer answer = answers.get(query.key());
        return answer == null
                ? OutcomeAnswer.of(query.key(), OutcomeAnswer.Kind.UNKNOWN_KEY)
                : OutcomeAnswer.recorded(query.key(), 0, answer);
    }

    @Override
    public void extendActivityDeadline(long sentNanos) {
        // The naive version dispatches without an activity deadline.
    }

    @Override
    public List<ExecutionAction> tick(long nowNanos) {
        return List.of();
    }
}
