package org.heatherreach.state.workspace;

import java.util.Objects;

/**
 * The secret by which a caller shows that it belongs to a workspace.
 * Invariant: the value is neither null nor empty, and no text form of the key contains it. Immutable and safe for use
 * by any thread.
 *
 * @param value the secret, which must not appear in logs, metrics, messages or requests to servers
 */
public record ApiKey(String value) {
    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public ApiKey {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("an API key must not be empty");
        }
    }

    /** Returns a fixed text, so that a key is never logged by mistake. */
    @Override
    public String toString() {
        return "ApiKey[hidden]";
    }
}
