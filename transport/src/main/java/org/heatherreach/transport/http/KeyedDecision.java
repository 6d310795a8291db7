package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.heatherreach.state.outcome.RefusalReason;

/** What to do with a request that has an execution key. Implementations are immutable. */
public sealed interface KeyedDecision {
    /** This daemon is the executor and may send the request to one server; it then records how that ended. */
    record Dispatch() implements KeyedDecision {}

    /**
     * The request ran before; the record is the answer.
     *
     * @param response the recorded response
     */
    record Replay(RecordedResponse response) implements KeyedDecision {
        /** Creates a decision. */
        public Replay {
            Objects.requireNonNull(response, "response");
        }
    }

    /**
     * The request is answered with a refusal.
     *
     * @param reason the reason, which carries what is known about the execution
     * @param retryAfterMillis when a repetition may succeed; 0 if unknown
     */
    record Refuse(RefusalReason reason, long retryAfterMillis) implements KeyedDecision {
        /** Creates a decision. */
        public Refuse {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Another daemon is the executor.
     *
     * @param executor its address for callers
     */
    record Forward(InetSocketAddress executor) implements KeyedDecision {
        /** Creates a decision. */
        public Forward {
            Objects.requireNonNull(executor, "executor");
        }
    }
}
