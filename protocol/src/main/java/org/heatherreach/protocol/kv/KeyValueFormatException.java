package org.heatherreach.protocol.kv;

/** A message of the key-value service that does not have the published form. */
public final class KeyValueFormatException extends Exception {
    /** Creates an exception that says what was expected. */
    public KeyValueFormatException(String message) {
        super(message);
    }

    /** Creates an exception for text that is not JSON. */
    public KeyValueFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
