package org.heatherreach.transport.peer;

/** Signals that a request to a peer failed without a response. Immutable. */
public final class PeerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final PeerFailure failure;

    /** Creates an exception for a failed request to the given peer. */
    public PeerException(PeerFailure failure, PeerAddress peer) {
        super(failure.label() + ": " + peer.host() + ':' + peer.port() + " incarnation " + peer.incarnation());
        this.failure = failure;
    }

    /** Returns the kind of failure. */
    public PeerFailure failure() {
        return failure;
    }
}
