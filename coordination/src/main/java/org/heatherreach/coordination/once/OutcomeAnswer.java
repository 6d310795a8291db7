package org.heatherreach.coordination.once;

import java.util.Objects;
import java.util.Optional;

/**
 * Answers an outcome query. Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param kind what the sender knows
 * @param fingerprint the hash of the request that is bound to the key; zero unless the answer is recorded
 * @param answer the answer of the server, if it is recorded
 */
public record OutcomeAnswer(ExecutionKey key, Kind kind, long fingerprint, Optional<RecordedAnswer> answer) {
    /** What the sender knows. */
    public enum Kind {
        /** The sender has no record and has not barred the key. */
        UNKNOWN_KEY,
        /** The sender will not let the key run. */
        BARRED,
        /** The request may have run. */
        INTENT,
        /** The request ran, and this is its answer. */
        RECORDED,
        /** The sender is the executor and the request is running. */
        RUNNING,
        /** The sender may have forgotten a record of the key. */
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
