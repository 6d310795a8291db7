package org.heatherreach.coordination.table;

import java.util.Objects;

/**
 * Announces a version to a peer. Immutable by convention: the payload must not be modified.
 *
 * @param version the version
 * @param payload an encoded {@link TablePayload}; without content it asks the receiver to report its version
 */
public record TablePush(long version, byte[] payload) {
    /** Creates a message. */
    public TablePush {
        Objects.requireNonNull(payload, "payload");
    }
}
