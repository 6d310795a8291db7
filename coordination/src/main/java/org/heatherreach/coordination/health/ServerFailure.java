package org.heatherreach.coordination.health;

/** How an exchange with a backend server failed. Immutable and safe for use by any thread. */
public enum ServerFailure {
    /** The server returned an error other than its load-shedding response, or the connection broke. */
    ERROR,
    /** The response ended before its announced length. */
    TRUNCATED,
    /** The server stopped sending and the exchange was abandoned. */
    STALLED,
    /** No connection could be established. */
    CONNECT
}
