package org.heatherreach.state.outcome;

import java.util.Locale;

/**
 * Why a daemon sends a request to a second server. Each constant has its own counter.
 * Immutable and safe for use by any thread.
 */
public enum RetryReason {
    /** The connection could not be established, so nothing was sent. */
    CONNECT_FAILED(true),
    /** The server shed the request with the answer that is documented for this purpose. */
    SERVER_SHED(true),
    /** The connection was lost before any byte of the answer was relayed. */
    CONNECTION_LOST(false),
    /** The server sent a message whose status is none of a response. */
    INVALID_RESPONSE(false),
    /** The server answered with an error. */
    SERVER_ERROR(false),
    /** The server did not answer within the time in which most requests of its service complete. */
    SERVER_SLOW(false);

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');
    private final boolean provenNotRun;

    RetryReason(boolean provenNotRun) {
        this.provenNotRun = provenNotRun;
    }

    /** Returns the metric tag. */
    public String label() {
        return label;
    }

    /**
     * Returns whether a request may be repeated for this reason. A request that may have run is repeated only if its
     * method is safe.
     */
    public boolean allows(boolean safeMethod) {
        return provenNotRun || safeMethod;
    }
}
