package org.heatherreach.coordination.table;

import java.util.Objects;

/**
 * Answers a {@link TableFetch} with the content that brings the sender of the fetch to a version. Immutable by
 * convention: the payload must not be modified.
 *
 * @param version the version
 * @param payload an encoded {@link TablePayload}
 */
public record TableAnswer(long version, byte[] payload) {
    /** Creates a message. */
    public TableAnswer {
        Objects.requireNonNull(payload, "payload");
    }
}
