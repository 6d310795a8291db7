package org.heatherreach.coordination.atmostonce;

import java.util.Objects;
import java.util.Optional;

/**
 * The answer of an executor or a witness to an outcome query. Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param kind what the sender knows
 * @param fingerprint the hash of the request that is bound to the key; zero unless the answer is recorded
 * @param answer the answer of the backend server, if it is recorded
 */
public record OutcomeAnswer(ExecutionKey key, Kind kind, long fingerprint, Optional<RecordedAnswer> answer) {
    /** What the sender knows. */
    public enum Kind {
        /** The sender knows of no dispatch and has not barred the key. */
        UNKNOWN_KEY,
        /**
         * The sender has barred the key: an executor never dispatches it, and a witness acknowledges no intent for it.
         */
        BARRED,
        /** The request may have run. */
        INTENT,
        /** The request ran, and its answer is attached. */
        RECORDED,
        /** The sender is the executor and the request is running. */
        RUNNING,
        /** The key has or may have expired, so the sender may have removed a record of it. */
        EXPIRED
    }

    /** Creates an answer. */
    public OutcomeAnswer {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(answer, "answer");
    }

    static OutcomeAnswer of(ExecutionKey key, Kind kind) {
        return new OutcomeAnswer(key, kind, 0, Optional.empty());
    }

    static OutcomeAnswer recorded(ExecutionKey key, long fingerprint, RecordedAnswer answer) {
        return new OutcomeAnswer(key, Kind.RECORDED, fingerprint, Optional.of(answer));
    }
}
