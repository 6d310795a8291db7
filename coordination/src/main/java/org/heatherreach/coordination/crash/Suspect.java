package org.heatherreach.coordination.crash;

import java.util.Objects;

/**
 * A request that was in flight during a crash. A request that was in flight during several crashes has one entry for
 * each. Immutable and safe for use by any thread.
 *
 * @param fingerprint identifies the request
 * @param crashes the number of crashes during which the request was in flight
 * @param refused whether the request is identified as the cause and refused
 * @param validMillis the time after which the entry expires; 0 clears the request
 * @param crash the number of the crash, which all its suspects share
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
