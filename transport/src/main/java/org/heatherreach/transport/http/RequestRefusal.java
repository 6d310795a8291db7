package org.heatherreach.transport.http;

import org.heatherreach.state.outcome.RefusalReason;

/** Signals, while the body of a request is read, that the request must be refused. Immutable. */
final class RequestRefusal extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final RefusalReason reason;

    RequestRefusal(RefusalReason reason) {
        super(reason.label(), null, false, false);
        this.reason = reason;
    }

    RefusalReason reason() {
        return reason;
    }
}
