package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.outcome.Outcome;

/**
 * How one exchange with a backend server ended. Immutable and safe for use by any thread.
 *
 * @param outcome what is known about the execution by this server
 * @param latencyNanos the time from the dispatch to the head of the response, or to the failure
 * @param failure the kind of failure, or {@link FailureKind#NONE}
 */
public record ExchangeResult(Outcome outcome, long latencyNanos, FailureKind failure) {
    /** Creates a result. */
    public ExchangeResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(failure, "failure");
    }
}
