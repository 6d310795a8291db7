package org.heatherreach.state.id;

import java.util.Objects;

/**
 * Identifies a daemon by its configured name, which a restart does not change.
 * Invariant: the value is neither null nor blank. Immutable and safe for use by any thread.
 *
 * @param value the id as written in settings, lists and messages
 */
public record DaemonId(String value) implements Comparable<DaemonId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if the value is blank
     */
    public DaemonId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("DaemonId must not be blank");
        }
    }

    /** Orders ids by their value. */
    @Override
    public int compareTo(DaemonId other) {
        return value.compareTo(other.value);
    }

    /** Returns the bare value, for logs and messages. */
    @Override
    public String toString() {
        return value;
    }
}
