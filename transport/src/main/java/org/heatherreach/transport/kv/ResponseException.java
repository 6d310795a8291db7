package org.heatherreach.transport.kv;

import java.util.Objects;

/** Ends a read because of the response that arrives. */
final class ResponseException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final transient KeyValueError error;

    /** Creates an exception that carries the result of the read. */
    ResponseException(KeyValueError error) {
        super(error.reason());
        this.error = Objects.requireNonNull(error, "error");
    }

    /** Returns the result of the read. */
    KeyValueError error() {
        return error;
    }
}
