package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import org.heatherreach.coordination.atmostonce.ExecutionAction;
import org.heatherreach.coordination.atmostonce.ExecutionRecords;
import org.heatherreach.coordination.atmostonce.KeyAttempt;
import org.heatherreach.coordination.atmostonce.RecordedAnswer;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.http.KeyedDecision;
import org.heatherreach.transport.http.KeyedOutcome;
import org.heatherreach.transport.http.RecordedResponse;

/**
 * The attempts that were admitted: each waits for its slot, then for the acknowledgement of its intent, and is then
 * dispatched.
 *
 * <p>Invariants: an attempt is dispatched only by the action of the records; a callback gets one decision for each time
 * that the attempt was prepared; an attempt is kept until it is finished.
 *
 * <p>Thread safety: confined to the duty thread.
 */
final class KeyedAttempts {
    private final ExecutionRecords executionRecords;
    private final RecordMessages messages;
    private final PendingDecisions decisions;
    private final RecordMeters meters;
    private final Map<RequestId, Execution> executions = new HashMap<>();

    /**
     * Creates an instance without attempts.
     *
     * @param executionRecords the records of the keys of this daemon
     * @param messages sends the intents
     * @param decisions delivers refusals
     * @param meters counts the ends of attempts
     */
    KeyedAttempts(
            ExecutionRecords executionRecords,
            RecordMessages messages,
            PendingDecisions decisions,
            RecordMeters meters) {
        this.executionRecords = Objects.requireNonNull(executionRecords, "executionRecords");
        this.messages = Objects.requireNonNull(messages, "messages");
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.meters = Objects.requireNonNull(meters, "meters");
    }

    /** Adds an attempt that the records have admitted. */
    void admit(ExecutionAction.Admit admit) {
        executions.put(admit.request(), new Execution(admit.attempt(), admit.request()));
    }

    /**
     * Prepares the dispatch of an attempt that has a slot.
     *
     * @param callback receives the decision to dispatch, or the refusal
     */
    List<ExecutionAction> prepare(RequestId request, Consumer<KeyedDecision> callback, long nowNanos) {
        Execution execution = executions.get(request);
        if (execution == null || execution.refusal != null) {
            // The attempt ended while the request waited for its slot.
            RefusalReason reason = execution == null ? RefusalReason.ACTIVITY_LAPSED : execution.refusal;
            decisions.refuse(callback, reason, reason.outcome());
            return List.of();
        }
        execution.callback = callback;
        return prepare(execution, nowNanos);
    }

    private List<ExecutionAction> prepare(Execution execution, long nowNanos) {
        List<ExecutionAction> otherActions = new ArrayList<>();
        List<ExecutionAction> actions = execution.dispatched
                ? executionRecords.redispatch(execution.attempt, nowNanos)
                : executionRecords.onSlotGranted(execution.attempt, nowNanos);
        for (ExecutionAction action : actions) {
            if (action instanceof ExecutionAction.SendIntent send) {
                messages.sendIntent(
                        send,
                        (ack, ackNanos) -> executionRecords.acknowledge(send.witness(), ack, ackNanos),
                        failureNanos -> failIntent(execution, failureNanos));
            } else {
                otherActions.add(action);
            }
        }
        if (actions.isEmpty()) {
            otherActions.add(new ExecutionAction.Refuse(execution.request, RefusalReason.KEY_EXPIRED));
        }
        return otherActions;
    }

    /** Refuses at once when neither witness can acknowledge any more; the records would otherwise continue to wait. */
    private List<ExecutionAction> failIntent(Execution execution, long nowNanos) {
        execution.failedIntents++;
        return execution.failedIntents == 2 && !execution.dispatched
                ? executionRecords.refuse(execution.attempt, RefusalReason.NO_WITNESS, nowNanos)
                : List.of();
    }

    /** Dispatches an attempt that was prepared. */
    void dispatch(RequestId request) {
        Execution execution = executions.get(request);
        Consumer<KeyedDecision> callback = execution.takeCallback();
        execution.dispatched = true;
        callback.accept(new KeyedDecision.Dispatch());
    }

    /** Refuses an attempt that waits for its slot or its intent; has no effect if there is none. */
    void refuse(RequestId request, RefusalReason reason) {
        Execution execution = executions.get(request);
        if (execution == null) {
            return;
        }
        execution.refusal = reason;
        Consumer<KeyedDecision> callback = execution.takeCallback();
        if (callback != null) {
            decisions.refuse(callback, reason, reason.outcome());
        }
    }

    /** Ends an attempt with its outcome; has no effect if it has ended. */
    List<ExecutionAction> finish(RequestId request, KeyedOutcome outcome, long nowNanos) {
        Execution execution = executions.remove(request);
        if (execution == null) {
            return List.of();
        }
        if (outcome instanceof KeyedOutcome.Answered answered) {
            meters.countEnd(RecordMeters.End.ANSWERED);
            RecordedResponse response = answered.response();
            return executionRecords.complete(
                    execution.attempt,
                    new RecordedAnswer(
                            response.statusCode(), response.contentType(), response.body(), response.complete()),
                    nowNanos);
        }
        if (outcome instanceof KeyedOutcome.NotRun notRun) {
            meters.countEnd(RecordMeters.End.NOT_RUN);
            return executionRecords.refuse(execution.attempt, notRun.reason(), nowNanos);
        }
        meters.countEnd(RecordMeters.End.UNKNOWN);
        RefusalReason reportedReason = ((KeyedOutcome.Unknown) outcome).reason();
        // Retries receive this reason and derive their outcome from it, so its outcome must be unknown.
        RefusalReason reason = reportedReason.outcome() == Outcome.UNKNOWN ? reportedReason : RefusalReason.SERVER_LOST;
        return execution.dispatched
                ? executionRecords.endUnknown(execution.attempt, reason, nowNanos)
                : executionRecords.refuse(execution.attempt, RefusalReason.DEADLINE_PASSED, nowNanos);
    }

    /** An admitted attempt. Confined to the duty thread. */
    private static final class Execution {
        private final KeyAttempt attempt;
        private final RequestId request;
        private Consumer<KeyedDecision> callback;
        private RefusalReason refusal;
        private boolean dispatched;
        private int failedIntents;

        Execution(KeyAttempt attempt, RequestId request) {
            this.attempt = attempt;
            this.request = request;
        }

        Consumer<KeyedDecision> takeCallback() {
            Consumer<KeyedDecision> taken = callback;
            callback = null;
            return taken;
        }
    }
}
