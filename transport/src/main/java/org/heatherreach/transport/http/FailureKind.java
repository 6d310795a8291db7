package org.heatherreach.transport.http;

import java.util.Locale;

import org.heatherreach.coordination.balance.PoolResult;

/**
 * How an exchange with a backend server ended, as evidence of the server's health. Immutable and safe for use by any
 * thread.
 */
public enum FailureKind {
    /** The server sent a complete response with a status below 500. */
    NONE(true, false),
    /** The server sent a complete response with a status of 500 or more. */
    ERROR(true, true),
    /** The connection failed before the response was complete, or the response was malformed. */
    TRUNCATED(false, true),
    /** The server sent a message whose status is none of a response, so the request may have run. */
    INVALID(false, true),
    /** The server made no progress within the deadline or the stall limit. */
    STALLED(false, true),
    /** The connection could not be established. */
    CONNECT(false, true),
    /** The server refused the request with a load-shedding response. */
    SHED(true, false),
    /** A server other than the expected one responded, so the expected one is no longer at this address. */
    MISDIRECTED(false, true),
    /** The daemon or the caller abandoned the exchange for a reason unrelated to the server. */
    CANCELLED(false, false);

    private final String label = name().toLowerCase(Locale.ROOT);
    private final boolean answered;
    private final boolean failure;

    FailureKind(boolean answered, boolean failure) {
        this.answered = answered;
        this.failure = failure;
    }

    /** Returns the value of the metric tag. */
    public String label() {
        return label;
    }

    /** Returns whether the server sent a complete response, so that the latency is that of a response. */
    public boolean isAnswered() {
        return answered;
    }

    /** Returns whether the exchange counts against the server. */
    public boolean isFailure() {
        return failure;
    }

    /** Returns the result that a pool records for the server. */
    PoolResult poolResult() {
        return switch (this) {
            case NONE -> PoolResult.SUCCESS;
            // An invalid status is no fault of the connection, unlike a lost response.
            case ERROR, INVALID -> PoolResult.ERROR;
            case TRUNCATED -> PoolResult.LOST;
            case STALLED -> PoolResult.STALLED;
            case CONNECT -> PoolResult.UNREACHABLE;
            case SHED -> PoolResult.SHED;
            case MISDIRECTED -> PoolResult.MISDIRECTED;
            case CANCELLED -> PoolResult.CANCELLED;
        };
    }
}
