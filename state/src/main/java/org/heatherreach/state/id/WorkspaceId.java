package org.heatherreach.state.id;

import java.util.Objects;

/**
 * Identifies a workspace, which is a caller's account.
 * Invariant: the value is neither null nor blank. Immutable and safe for use by any thread.
 *
 * @param value the id as written in settings, lists and messages
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if the value is blank
     */
    public WorkspaceId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("WorkspaceId must not be blank");
        }
    }

    /** Orders ids by their value. */
    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    /** Returns the bare value, for logs and messages. */
    @Override
    public String toString() {
        return value;
    }
}
