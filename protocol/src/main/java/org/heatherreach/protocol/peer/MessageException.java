package org.heatherreach.protocol.peer;

/** Thrown when a message between daemons holds a value that its type does not allow. Immutable. */
public final class MessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a message of the named type. */
    public MessageException(String messageType, RuntimeException cause) {
        super("malformed " + messageType + ": " + cause.getMessage(), cause);
    }
}
