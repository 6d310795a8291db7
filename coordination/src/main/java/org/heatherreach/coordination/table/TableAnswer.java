package org.heatherreach.coordination.table;

import java.util.Objects;

/**
 * Brings a peer to a version. Immutable by convention: nobody changes the payload.
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
