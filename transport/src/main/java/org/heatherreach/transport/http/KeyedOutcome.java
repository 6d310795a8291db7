package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.outcome.RefusalReason;

/** How an admitted request with an execution key ended. Implementations are immutable. */
public sealed interface KeyedOutcome {
    /**
     * A server responded.
     *
     * @param response the recorded part of the response
     */
    record Answered(RecordedResponse response) implements KeyedOutcome {
        /** Creates an outcome. */
        public Answered {
            Objects.requireNonNull(response, "response");
        }
    }

    /**
     * No server has run the request, and none will.
     *
     * @param reason the reason that is sent to the caller
     */
    record NotRun(RefusalReason reason) implements KeyedOutcome {
        /** Creates an outcome. */
        public NotRun {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * A server may have run the request.
     *
     * @param reason the reason that is sent to the caller
     */
    record Unknown(RefusalReason reason) implements KeyedOutcome {
        /** Creates an outcome. */
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
