package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.rank.Rank;

/**
 * The conditions of retries, priority and latency under which a request is served. Immutable and safe for use by any
 * thread.
 *
 * @param idempotent whether the request may run more than once
 * @param retriesAfterError whether an idempotent request is retried at another server after an error response
 * @param largeAnswer whether the response, or the body of the request, is expected to be so large that a server in the
 *     same availability zone is preferred
 * @param attempts the maximum number of servers that the request is sent to
 * @param priority the order in which requests wait for a server; 0 is the most urgent
 * @param targetLatencyMillis the latency up to which a response is of full use to the caller; 0 if not set
 * @param route the name of the route; empty if there is none
 */
public record CallTerms(
        boolean idempotent,
        boolean retriesAfterError,
        boolean largeAnswer,
        int attempts,
        int priority,
        int targetLatencyMillis,
        String route) {
    /** Creates terms. */
    public CallTerms {
        Objects.requireNonNull(route, "route");
    }

    /** Returns the terms of a request for which only the method and rank are known. */
    public static CallTerms of(boolean idempotent, Rank rank, int attempts) {
        return new CallTerms(idempotent, false, false, attempts, rank.ordinal(), 0, "");
    }
}
