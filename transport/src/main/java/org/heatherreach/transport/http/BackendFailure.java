package org.heatherreach.transport.http;

/** Signals inside the request path that an exchange with a server ended without a usable answer. Immutable. */
final class BackendFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final FailureKind kind;
    private final long retryAfterMillis;

    BackendFailure(FailureKind kind, String message, long retryAfterMillis) {
        // A refused request has to stay cheap, so no stack trace is taken.
        super(message, null, false, false);
        this.kind = kind;
        this.retryAfterMillis = retryAfterMillis;
    }

    FailureKind kind() {
        return kind;
    }

    long retryAfterMillis() {
        return retryAfterMillis;
    }
}
