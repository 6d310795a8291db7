package org.heatherreach.state.id;

import java.util.Objects;

/**
 * Identifies a region, which holds several availability zones.
 * Invariant: the value is neither null nor blank. Immutable and safe for use by any thread.
 *
 * @param value the id as written in settings, lists and messages
 */
public record RegionId(String value) implements Comparable<RegionId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if the value is blank
     */
    public RegionId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("RegionId must not be blank");
        }
    }

    /** Orders ids by their value. */
    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    /** Returns the bare value, for logs and messages. */
    @Override
    public String toString() {
        return value;
    }
}
