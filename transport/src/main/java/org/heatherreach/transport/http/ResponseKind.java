package org.heatherreach.transport.http;

/** What the head of a server's response says about the execution of the request. Safe for use by any thread. */
public enum ResponseKind {
    /** The server ran the request or may have run it. */
    EXECUTED,
    /** The server refused the request without running it. */
    SHED,
    /** A server other than the expected one responded and did not run the request. */
    MISDIRECTED,
    /** The response reports success but lacks the proof that the server sent it. */
    UNVERIFIED
}
