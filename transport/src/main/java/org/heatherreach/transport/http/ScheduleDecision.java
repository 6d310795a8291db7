package org.heatherreach.transport.http;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.coordination.balance.ChoiceBasis;
import org.heatherreach.state.outcome.RefusalReason;

/** The decision of a scheduler on one submission. Implementations are immutable. */
public sealed interface ScheduleDecision {
    /**
     * The submission holds a slot of the server until it is completed.
     *
     * @param server the server to send the request to
     * @param basis the state of the server on which the choice was based, if the scheduler records it
     */
    record Dispatch(BackendServer server, Option<ChoiceBasis> basis) implements ScheduleDecision {
        /** Creates a decision. */
        public Dispatch {
            Objects.requireNonNull(server, "server");
            Objects.requireNonNull(basis, "basis");
        }

        /** Creates a decision without a recorded basis. */
        public Dispatch(BackendServer server) {
            this(server, Option.none());
        }
    }

    /**
     * The submission is refused and holds no slot.
     *
     * @param reason why it was refused
     * @param retryAfterMillis the time after which a retry may succeed; 0 if unknown
     */
    record Refuse(RefusalReason reason, long retryAfterMillis) implements ScheduleDecision {
        /** Creates a decision. */
        public Refuse {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
