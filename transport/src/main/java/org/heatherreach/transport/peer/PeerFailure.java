package org.heatherreach.transport.peer;

import java.util.Locale;

/** Why a frame did not reach a peer or its response did not come back. Each constant has its own counter. */
public enum PeerFailure {
    /** No connection could be established; nothing was sent. */
    UNREACHABLE(true),
    /** The outbound buffer of the connection is full; nothing was sent. */
    OVERLOADED(true),
    /** The connection closed before the response arrived. */
    CONNECTION_LOST(false),
    /** No response arrived in time. */
    TIMEOUT(false),
    /** Another incarnation answers at the address; nothing was handled. */
    WRONG_INCARNATION(true);

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');
    private final boolean notHandled;

    PeerFailure(boolean notHandled) {
        this.notHandled = notHandled;
    }

    /** Returns the metric tag. */
    public String label() {
        return label;
    }

    /** Returns whether it is certain that the peer did not handle the frame. */
    public boolean isNotHandled() {
        return notHandled;
    }
}
