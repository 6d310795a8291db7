package org.heatherreach.state.rank;

import java.util.Locale;
import java.util.Optional;

/** The ranks of work in order of decreasing urgency. Immutable and safe for use by any thread. */
public enum Rank {
    /** Work that a person or a truck is waiting for. */
    URGENT,
    /** Ordinary work. */
    STANDARD,
    /** Bulk work that may wait. */
    BULK;

    private static final Rank[] BY_URGENCY = values();

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the name used in headers, the table and metrics. */
    public String label() {
        return label;
    }

    /** Returns whether this rank is served before the other one. */
    public boolean isMoreUrgentThan(Rank other) {
        return ordinal() < other.ordinal();
    }

    /** Finds a rank by its label; empty if there is none. */
    public static Optional<Rank> find(String label) {
        for (Rank rank : BY_URGENCY) {
            if (rank.label.equals(label)) {
                return Optional.of(rank);
            }
        }
        return Optional.empty();
    }
}
