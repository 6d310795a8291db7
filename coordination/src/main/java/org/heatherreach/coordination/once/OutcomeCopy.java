package org.heatherreach.coordination.once;

import java.util.Objects;

/**
 * Gives a witness the answer of the server, or withdraws an attempt. Immutable and safe for use by any thread.
 *
 * @param attempt the attempt
 * @param fingerprint the hash of the request
 * @param answer the answer, or {@link RecordedAnswer#WITHDRAWN}
 */
public record OutcomeCopy(KeyAttempt attempt, long fingerprint, RecordedAnswer answer) {
    /** Creates a copy. */
    public OutcomeCopy {
        Objects.requireNonNull(answer, "answer");
    }
}
