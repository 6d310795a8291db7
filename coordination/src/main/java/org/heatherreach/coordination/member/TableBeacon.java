package org.heatherreach.coordination.member;

/**
 * The table version and the view of the store that each packet advertises. Immutable and safe for use by any thread.
 *
 * @param tableVersion the version that the sender holds; zero if it holds none
 * @param storeConfirmedAgeMillis the time since a table reader last confirmed the version with the store, as far as the
 *     sender knows
 * @param storeUnavailable whether the reader with the newest confirmation has since reported that the store is
 *     unavailable
 */
public record TableBeacon(long tableVersion, int storeConfirmedAgeMillis, boolean storeUnavailable) {
    /** The age if no confirmation by the store is known. */
    public static final int NEVER_CONFIRMED = Integer.MAX_VALUE;

    /**
     * Creates a beacon.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public TableBeacon {
        if (tableVersion < 0 || storeConfirmedAgeMillis < 0) {
            throw new IllegalArgumentException("version and age must not be negative");
        }
    }
}
