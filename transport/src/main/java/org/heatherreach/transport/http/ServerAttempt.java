package org.heatherreach.transport.http;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.coordination.balance.ChoiceBasis;

/**
 * One exchange of a request with a server, or with the daemon that executes its key. Immutable and safe for use by any
 * thread.
 *
 * @param server the server, or {@code executor@HOST:PORT}
 * @param basis the state of the server on which its choice was based, if recorded
 * @param waitNanos the time from the arrival of the request to this exchange
 * @param result how the exchange ended; empty if it was still in progress when the request ended on the caller's side
 */
public record ServerAttempt(String server, Option<ChoiceBasis> basis, long waitNanos, Option<ExchangeResult> result) {
    /** Creates an attempt. */
    public ServerAttempt {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(basis, "basis");
        Objects.requireNonNull(result, "result");
    }
}
