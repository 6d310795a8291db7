package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import reactor.core.publisher.Mono;

/** What to do with a request that has an execution key. Implementations are immutable. */
public sealed interface KeyedDecision {
    /**
     * This daemon is the executor. The request may take a slot or wait for one, and is prepared before it is sent.
     *
     * @param ticket identifies the attempt within the process
     */
    record Admit(long ticket) implements KeyedDecision {}

    /** The prepared request may be sent to one server now. */
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
     * @param reason the reason
     * @param outcome what is known about the execution of the key; an earlier request with it may have run although
     *     this one did not
     */
    record Refuse(RefusalReason reason, Outcome outcome) implements KeyedDecision {
        /** Creates a decision. */
        public Refuse {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(outcome, "outcome");
        }

        /** Creates a decision whose reason tells what is known about the key. */
        public Refuse(RefusalReason reason) {
            this(reason, reason.outcome());
        }
    }

    /**
     * Another daemon is the executor.
     *
     * @param executor its address for callers
     * @param lost completes when the executor is no longer a member; a forwarded request then has no answer to wait for
     */
    record Forward(InetSocketAddress executor, Mono<Void> lost) implements KeyedDecision {
        /** Creates a decision. */
        public Forward {
            Objects.requireNonNull(executor, "executor");
            Objects.requireNonNull(lost, "lost");
        }
    }
}
