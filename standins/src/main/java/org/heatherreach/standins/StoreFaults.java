package org.heatherreach.standins;

/**
 * The faults of a key-value stand-in that its admin endpoint switches. Immutable and safe for use by any thread.
 *
 * @param outage how calls fail during an outage
 * @param delayMillis the time that is added to each call
 * @param loseResponses the number of next writes whose response is lost after the write took effect
 * @param refuseWatches whether watches are answered with status 503 while other calls succeed
 */
public record StoreFaults(Outage outage, int delayMillis, int loseResponses, boolean refuseWatches) {
    /** No fault. */
    public static final StoreFaults NONE = new StoreFaults(Outage.NONE, 0, 0, false);

    /** How calls fail during an outage. */
    public enum Outage {
        /** Calls succeed. */
        NONE,
        /** Calls are answered with status 503. */
        UNAVAILABLE,
        /** Calls are accepted and never answered. */
        SILENT,
        /** Connections are closed without an answer. */
        DISCONNECT
    }
}
