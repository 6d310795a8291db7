package org.heatherreach.coordination.atmostonce;

import java.util.Objects;

/**
 * Sends a witness the answer of the backend server, or withdraws the intent of an attempt. Immutable and safe for use
 * by any thread.
 *
 * @param attempt the attempt
 * @param fingerprint the hash of the request
 * @param answer the answer of the server, or {@link RecordedAnswer#WITHDRAWN}
 */
public record OutcomeCopy(KeyAttempt attempt, long fingerprint, RecordedAnswer answer) {
    /** Creates a copy. */
    public OutcomeCopy {
        Objects.requireNonNull(answer, "answer");
    }
}
