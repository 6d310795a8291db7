package org.heatherreach.transport.http;

import java.io.IOException;

import org.heatherreach.protocol.http.InvalidStatus;

/** Signals that a message is no response because of its status, so whether its request had an effect is unknown. */
public final class InvalidStatusException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidStatusException(InvalidStatus reason) {
        super("the status of the response is invalid: " + reason.label());
    }
}
