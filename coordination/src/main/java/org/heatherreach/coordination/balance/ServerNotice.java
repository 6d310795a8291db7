package org.heatherreach.coordination.balance;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * What a server announced about itself in an answer. Immutable and safe for use by any thread.
 *
 * @param leaving whether the server is about to stop, so that it must get no further requests
 * @param quietDeadlineNanos until when the server asked to get no requests, on the monotonic clock; empty if it did not
 */
public record ServerNotice(boolean leaving, Option<Long> quietDeadlineNanos) {
    /** Creates a notice. */
    public ServerNotice {
        Objects.requireNonNull(quietDeadlineNanos, "quietDeadlineNanos");
    }

    /** Returns whether the server announced nothing. */
    public boolean isEmpty() {
        return !leaving && quietDeadlineNanos.isEmpty();
    }
}
