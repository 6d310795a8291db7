package org.heatherreach.transport.peer;

import java.util.Locale;

/** The reason why a frame did not reach a peer or no response was received. Each constant has its own counter. */
public enum PeerFailure {
    /** No connection could be established; nothing was sent. */
    UNREACHABLE(true),
    /** The outbound buffer of the connection is full; nothing was sent. */
    OVERLOADED(true),
    /** The connection closed before the response arrived. */
    CONNECTION_LOST(false),
    /** No response arrived within the timeout. */
    TIMEOUT(false),
    /** Another incarnation responded at the address; the frame was not handled. */
    WRONG_INCARNATION(true);

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');
    private final boolean notHandled;

    PeerFailure(boolean notHandled) {
        this.notHandled = notHandled;
    }

    /** Returns the value of the metric tag. */
    public String label() {
        return label;
    }

    /** Returns whether it is certain that the peer did not handle the frame. */
    public boolean isNotHandled() {
        return notHandled;
    }
}
