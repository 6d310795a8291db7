package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import reactor.core.publisher.Mono;

/** A decision on how to process a request with an execution key. Implementations are immutable. */
public sealed interface KeyedDecision {
    /**
     * This daemon is the executor. The request may take a slot or wait for one, and must be prepared before it is sent.
     *
     * @param ticket identifies the attempt within the process
     */
    record Admit(long ticket) implements KeyedDecision {}

    /** The prepared request may be sent to one server now. */
    record Dispatch() implements KeyedDecision {}

    /**
     * The request ran before, and its recorded response is sent to the caller.
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
     * The request is refused.
     *
     * @param reason why the request is refused
     * @param outcome what is known about the execution of the key; an earlier request with the key may have run
     *     although this request did not
     */
    record Refuse(RefusalReason reason, Outcome outcome) implements KeyedDecision {
        /** Creates a decision. */
        public Refuse {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(outcome, "outcome");
        }

        /** Creates a decision with the outcome that the reason implies. */
        public Refuse(RefusalReason reason) {
            this(reason, reason.outcome());
        }
    }

    /**
     * Another daemon is the executor.
     *
     * @param executor the address of the executor for callers
     * @param lost completes when the executor is no longer a member, so that no response to a forwarded request will
     *     arrive
     */
    record Forward(InetSocketAddress executor, Mono<Void> lost) implements KeyedDecision {
        /** Creates a decision. */
        public Forward {
            Objects.requireNonNull(executor, "executor");
            Objects.requireNonNull(lost, "lost");
        }
    }
}
