package org.heatherreach.state.outcome;

import java.util.Locale;

/**
 * Why a daemon refuses a request. Each constant has its own counter, HTTP status and outcome.
 * Immutable and safe for use by any thread.
 */
public enum RefusalReason {
    /** The request names no service, or one that is not in the table. */
    UNKNOWN_SERVICE(404, Outcome.NOT_RUN),
    /** The request needs an API key, and has none that the table in use knows. */
    UNKNOWN_API_KEY(401, Outcome.NOT_RUN),
    /** The rank header does not name a rank. */
    INVALID_RANK(400, Outcome.NOT_RUN),
    /** The timeout header is not a positive number of milliseconds. */
    INVALID_TIMEOUT(400, Outcome.NOT_RUN),
    /** The execution key is malformed, or bound to another request. */
    INVALID_KEY(400, Outcome.NOT_RUN),
    /** The execution key has expired, so the record of an earlier run may be gone. */
    KEY_EXPIRED(409, Outcome.UNKNOWN),
    /** A request with this key is still running. */
    KEY_RUNNING(409, Outcome.UNKNOWN),
    /** The execution key was barred before a request with it was dispatched. */
    KEY_BARRED(409, Outcome.NOT_RUN),
    /** The daemon that may run requests with the key, or a witness of the key, is unreachable. */
    EXECUTOR_UNREACHABLE(502, Outcome.UNKNOWN),
    /** No witness acknowledged the intent in time, so the request was not dispatched. */
    NO_WITNESS(503, Outcome.NOT_RUN),
    /** The request is malformed or uses a disallowed framing. */
    BAD_REQUEST(400, Outcome.NOT_RUN),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN),
    /** The caller sent its request too slowly. */
    SLOW_CALLER(408, Outcome.NOT_RUN),
    /** The queue of the rank is full. */
    QUEUE_FULL(503, Outcome.NOT_RUN),
    /** The expected wait ends after the deadline. */
    DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN),
    /** The deadline passed while the request was queued. */
    DEADLINE_PASSED(504, Outcome.NOT_RUN),
    /** No server of the service is in use. */
    NO_SERVER(503, Outcome.NOT_RUN),
    /** The workspace is over its limit. */
    WORKSPACE_LIMIT(429, Outcome.NOT_RUN),
    /** The request is known to crash servers. */
    CRASH_SUSPECT(422, Outcome.NOT_RUN),
    /** The ring buffer to the scheduling duty is full. */
    RING_FULL(503, Outcome.NOT_RUN),
    /** The daemon has no room to record another keyed request. */
    RECORDS_FULL(503, Outcome.NOT_RUN),
    /** The daemon already holds as many bytes for other requests as requests of this rank may use. */
    MEMORY_LIMIT(503, Outcome.NOT_RUN),
    /** The daemon is isolated from its peers and the store, so its table may be out of date. */
    ISOLATED(503, Outcome.NOT_RUN),
    /** The daemon has not read a routing table yet. */
    NO_TABLE(503, Outcome.NOT_RUN),
    /** The table in use has no route for the request, or does not know its API key, but there is a newer table. */
    TABLE_OUTDATED(503, Outcome.NOT_RUN),
    /** The daemon was paused and no longer dispatches the requests that it held. */
    ACTIVITY_LAPSED(503, Outcome.NOT_RUN),
    /** The daemon began to shut down before the request was dispatched. */
    SHUTTING_DOWN(503, Outcome.NOT_RUN),
    /** Every server that was tried shed the request. */
    SERVERS_SHED(503, Outcome.NOT_RUN),
    /** No connection to any server that was tried could be established. */
    CONNECT_FAILED(502, Outcome.NOT_RUN),
    /** The connection was lost after the request was sent. */
    SERVER_LOST(502, Outcome.UNKNOWN),
    /** The server did not answer before the deadline. */
    SERVER_TIMEOUT(504, Outcome.UNKNOWN);

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');
    private final int statusCode;
    private final Outcome outcome;

    RefusalReason(int statusCode, Outcome outcome) {
        this.statusCode = statusCode;
        this.outcome = outcome;
    }

    /** Returns the value of the reason header and the metric tag. */
    public String label() {
        return label;
    }

    /** Returns the HTTP status code of the refusal. */
    public int statusCode() {
        return statusCode;
    }

    /** Returns what is known about the execution of a request refused for this reason. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns whether the condition is transient, so that a retry hint is useful. */
    public boolean isTransient() {
        return statusCode == 503 || statusCode == 429;
    }
}
