package org.heatherreach.coordination.poison;

import java.util.Objects;

/**
 * A request that was in flight during a crash. Immutable and safe for use by any thread.
 * A request that was in flight during several crashes has one entry for each.
 *
 * @param fingerprint the request
 * @param crashes the crashes that it took part in
 * @param refused whether it is identified and refused
 * @param validMillis the time after which the entry ends; 0 clears the request
 * @param crash the number that the suspects of one crash share
 */
public record Suspect(Fingerprint fingerprint, int crashes, boolean refused, int validMillis, long crash) {
    /**
     * Creates a suspect.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public Suspect {
        Objects.requireNonNull(fingerprint, "fingerprint");
        if (crashes < 0 || validMillis < 0) {
            throw new IllegalArgumentException("crashes and validMillis must not be negative");
        }
    }

    /** Returns the entry that clears a request. */
    public static Suspect cleared(Fingerprint fingerprint) {
        return new Suspect(fingerprint, 0, false, 0, 0);
    }

    /** Returns whether this entry clears the request. */
    public boolean isCleared() {
        return validMillis == 0;
    }
}
