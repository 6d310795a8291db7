package org.heatherreach.coordination.health;

/** How an exchange with a backend server failed. Immutable and safe for use by any thread. */
public enum ServerFailure {
    /** The server answered with a server error other than its load-shedding answer, or broke the connection. */
    ERROR,
    /** The response ended before its announced length. */
    TRUNCATED,
    /** The server fell silent and the exchange was given up. */
    STALLED,
    /** No connection could be established. */
    CONNECT
}
