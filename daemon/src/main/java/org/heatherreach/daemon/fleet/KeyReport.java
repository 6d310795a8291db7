package org.heatherreach.daemon.fleet;

import java.util.Locale;

import org.heatherreach.coordination.atmostonce.ExecutionAction;
import org.heatherreach.coordination.atmostonce.OutcomeAnswer;
import org.heatherreach.coordination.atmostonce.RecordedAnswer;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * What is known about a key, for callers that ask. Immutable and safe for use by any thread.
 *
 * @param state what is known
 * @param reason why; the label of a refusal, or {@code answered}
 * @param statusCode the status of a recorded answer, else 0
 * @param complete whether the recorded body is the whole one
 */
record KeyReport(State state, String reason, int statusCode, boolean complete) {
    /** What is known about a key. */
    enum State {
        /** The request is running at the executor, or queued there. */
        RUNNING,
        /** The request ran, and its answer is recorded. */
        RECORDED,
        /** The request did not run and will not run. */
        NOT_RUN,
        /** The request may have run. */
        UNKNOWN;

        /** Returns the name in answers. */
        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    static KeyReport unknown(RefusalReason reason) {
        return new KeyReport(State.UNKNOWN, reason.label(), 0, false);
    }

    /** Converts the end of a look-up. */
    static KeyReport of(ExecutionAction action) {
        if (action instanceof ExecutionAction.Replay replay) {
            return recorded(replay.answer());
        }
        RefusalReason reason = ((ExecutionAction.Refuse) action).reason();
        if (reason == RefusalReason.KEY_RUNNING) {
            return new KeyReport(State.RUNNING, reason.label(), 0, false);
        }
        return reason.outcome() == Outcome.NOT_RUN
                ? new KeyReport(State.NOT_RUN, reason.label(), 0, false)
                : unknown(reason);
    }

    /**
     * Converts the answer of the executor.
     *
     * @param lost why a request that was dispatched has no answer
     */
    static KeyReport of(OutcomeAnswer answer, RefusalReason lost) {
        return switch (answer.kind()) {
            case RECORDED -> recorded(answer.answer().orElseThrow());
            case RUNNING -> new KeyReport(State.RUNNING, RefusalReason.KEY_RUNNING.label(), 0, false);
            case BARRED -> new KeyReport(State.NOT_RUN, RefusalReason.KEY_BARRED.label(), 0, false);
            case INTENT -> unknown(lost);
            case EXPIRED -> unknown(RefusalReason.KEY_EXPIRED);
            case UNKNOWN_KEY -> unknown(RefusalReason.RECORDS_FULL);
        };
    }

    private static KeyReport recorded(RecordedAnswer answer) {
        return new KeyReport(State.RECORDED, "answered", answer.status(), answer.complete());
    }
}
