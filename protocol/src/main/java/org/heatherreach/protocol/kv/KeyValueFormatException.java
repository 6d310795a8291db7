package org.heatherreach.protocol.kv;

/** Thrown when a message of the key-value service does not have the published form. */
public final class KeyValueFormatException extends Exception {
    /** Creates an exception whose message says what is malformed. */
    public KeyValueFormatException(String message) {
        super(message);
    }

    /** Creates an exception for text that cannot be decoded. */
    public KeyValueFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
