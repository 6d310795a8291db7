package org.heatherreach.transport.http;

import org.heatherreach.state.outcome.RefusalReason;

/** Signals within the request path that a request must be refused while its body is read. Immutable. */
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
