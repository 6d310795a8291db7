package org.heatherreach.state.id;

import java.util.Objects;

/**
 * Identifies a backend server.
 * Invariant: the value is neither null nor blank. Immutable and safe for use by any thread.
 *
 * @param value the id as written in settings, lists and messages
 */
public record ServerId(String value) implements Comparable<ServerId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if the value is blank
     */
    public ServerId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("ServerId must not be blank");
        }
    }

    /** Orders ids by their value. */
    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    /** Returns the bare value, for logs and messages. */
    @Override
    public String toString() {
        return value;
    }
}
