package org.heatherreach.coordination.quota;

import java.util.Locale;

/** Why a request is refused for quota. Immutable and safe for use by any thread. */
public enum QuotaRefusal {
    /** The owner has no credits left. */
    EXHAUSTED,
    /** No owner replies, and the fallback permits no request now. */
    NO_OWNER;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the metric tag. */
    public String label() {
        return label;
    }
}
