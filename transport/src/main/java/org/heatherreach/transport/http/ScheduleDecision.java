package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.outcome.RefusalReason;

/** What a scheduler decided about one submission. Implementations are immutable. */
public sealed interface ScheduleDecision {
    /**
     * The submission holds a slot of the server until it is completed.
     *
     * @param server the server to send the request to
     */
    record Dispatch(BackendServer server) implements ScheduleDecision {
        /** Creates a decision. */
        public Dispatch {
            Objects.requireNonNull(server, "server");
        }
    }

    /**
     * The submission holds no slot and ends here.
     *
     * @param reason why it was refused
     * @param retryAfterMillis when a repetition may succeed; 0 if unknown
     */
    record Refuse(RefusalReason reason, long retryAfterMillis) implements ScheduleDecision {
        /** Creates a decision. */
        public Refuse {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
