package org.heatherreach.daemon.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import org.heatherreach.coordination.atmostonce.ExecutionAction;
import org.heatherreach.coordination.atmostonce.RecordedAnswer;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.http.KeyedDecision;
import org.heatherreach.transport.http.RecordedResponse;

/**
 * The requests that wait for a decision of the records.
 *
 * <p>Invariant: each request that was added gets at most one decision.
 *
 * <p>Thread safety: confined to the duty thread, except for {@link #refuse}.
 */
final class PendingDecisions {
    private final RecordMeters meters;
    private final Map<RequestId, Consumer<ExecutionAction>> pending = new HashMap<>();

    PendingDecisions(RecordMeters meters) {
        this.meters = Objects.requireNonNull(meters, "meters");
    }

    /** Adds a request whose caller receives the decision itself. */
    void add(RequestId request, Consumer<ExecutionAction> callback) {
        pending.put(request, callback);
    }

    /**
     * Adds a request with a key.
     *
     * @param ticket the ticket that the callback gets if the request is admitted
     */
    void add(RequestId request, long ticket, Consumer<KeyedDecision> callback) {
        add(request, action -> deliverDecision(callback, ticket, action));
    }

    /** Delivers the decision on a request. Returns false if the request does not wait for one. */
    boolean deliver(RequestId request, ExecutionAction action) {
        Consumer<ExecutionAction> callback = pending.remove(request);
        if (callback == null) {
            return false;
        }
        callback.accept(action);
        return true;
    }

    private void deliverDecision(Consumer<KeyedDecision> callback, long ticket, ExecutionAction action) {
        if (action instanceof ExecutionAction.Admit) {
            callback.accept(new KeyedDecision.Admit(ticket));
        } else if (action instanceof ExecutionAction.Replay replay) {
            RecordedAnswer answer = replay.answer();
            meters.countEnd(RecordMeters.End.REPLAYED);
            callback.accept(new KeyedDecision.Replay(
                    new RecordedResponse(answer.status(), answer.contentType(), answer.body(), answer.complete())));
        } else {
            RefusalReason reason = ((ExecutionAction.Refuse) action).reason();
            refuse(callback, reason, reason.outcome());
        }
    }

    /**
     * Refuses a request and counts the refusal. Safe for use by any thread.
     *
     * @param outcome what the caller is told about the execution
     */
    void refuse(Consumer<KeyedDecision> callback, RefusalReason reason, Outcome outcome) {
        meters.countRefusal(reason);
        callback.accept(new KeyedDecision.Refuse(reason, outcome));
    }
}
