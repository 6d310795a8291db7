package org.heatherreach.transport.http;

/** Signals within the request path that an exchange with a server ended without a usable response. Immutable. */
final class BackendFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final FailureKind kind;
    private final long retryAfterMillis;

    BackendFailure(FailureKind kind, String message, long retryAfterMillis) {
        // No stack trace is recorded, so that refusing a request stays cheap.
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
