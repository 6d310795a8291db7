package org.heatherreach.transport.http;

import org.heatherreach.state.route.CallerLimits;

/**
 * Limits on requests and connections, from the settings. Immutable and safe for use by any thread. Invariant: each
 * value is positive.
 *
 * @param headBytes the maximum size of a request line with its headers, and of the head of a response
 * @param bodyBytes the maximum size of a request body
 * @param retainedBodyBytes the size up to which a request body is buffered before dispatch, so that it can be sent
 *     again, and up to which a response is buffered before it is relayed
 * @param keyedBodyBytes the maximum size of the body of a request with an execution key
 * @param headTimeoutMillis the time within which a caller must send a request head
 * @param stallTimeoutMillis the time without progress after which a body transfer is aborted
 * @param connectTimeoutMillis the time within which a connection to a server must be established
 * @param idleTimeoutMillis the time after which an idle connection is closed
 * @param attempts the maximum number of servers that a request is sent to
 * @param connections the maximum number of open connections of callers
 * @param reusesBackendConnections whether connections to servers are used for more than one request; if not, no request
 *     is sent on a connection that the server may have closed unnoticed
 */
public record ProxyLimits(
        int headBytes,
        long bodyBytes,
        int retainedBodyBytes,
        int keyedBodyBytes,
        int headTimeoutMillis,
        int stallTimeoutMillis,
        int connectTimeoutMillis,
        int idleTimeoutMillis,
        int attempts,
        int connections,
        boolean reusesBackendConnections) {
    /** The maximum number of body bytes that are recorded for an execution key, as specified in the design page. */
    public static final int RECORDED_BYTES = 64 * 1024;

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a value is not positive
     */
    public ProxyLimits {
        if (Math.min(headBytes, Math.min(retainedBodyBytes, keyedBodyBytes)) < 1
                || bodyBytes < 1
                || Math.min(headTimeoutMillis, stallTimeoutMillis) < 1
                || Math.min(connectTimeoutMillis, idleTimeoutMillis) < 1
                || Math.min(attempts, connections) < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /** Returns these limits with the operator's limits on callers applied; the size limits are never raised. */
    ProxyLimits withCallerLimits(CallerLimits callers) {
        return new ProxyLimits(
                Math.min(headBytes, callers.headBytes()),
                Math.min(bodyBytes, callers.bodyBytes()),
                retainedBodyBytes,
                keyedBodyBytes,
                callers.headTimeoutMillis(),
                stallTimeoutMillis,
                connectTimeoutMillis,
                callers.idleTimeoutMillis(),
                attempts,
                connections,
                reusesBackendConnections);
    }

    /** Returns the limits that apply if the settings specify none. */
    public static ProxyLimits defaults() {
        return new ProxyLimits(
                16 * 1024, 64L * 1024 * 1024, 64 * 1024, 1024 * 1024, 10_000, 15_000, 1_000, 60_000, 3, 20_000, true);
    }
}
