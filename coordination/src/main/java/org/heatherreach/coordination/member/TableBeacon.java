package org.heatherreach.coordination.member;

/**
 * What each packet tells about the table and the store. Immutable and safe for use by any thread.
 *
 * @param tableVersion the version that the sender holds; zero if it holds none
 * @param storeConfirmedAgeMillis the time since any reader saw the store current, as known to the sender
 * @param storeAway whether the reader with the newest confirmation reported the store unavailable since
 */
public record TableBeacon(long tableVersion, int storeConfirmedAgeMillis, boolean storeAway) {
    /** The age of a store that was never seen. */
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
