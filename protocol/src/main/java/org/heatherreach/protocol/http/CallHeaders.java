package org.heatherreach.protocol.http;

/** Names of the headers that callers, daemons and backend servers exchange. Stateless. */
public final class CallHeaders {
    /** The service that a request is for. */
    public static final String SERVICE = "Heatherreach-Service";
    /** The rank of the request; standard if absent. */
    public static final String RANK = "Heatherreach-Rank";
    /** The time in milliseconds that the sender still waits for an answer. */
    public static final String TIMEOUT_MS = "Heatherreach-Timeout-Ms";
    /** The workspace that the request counts against. */
    public static final String WORKSPACE = "Heatherreach-Workspace";
    /** The execution key of a request that must run at most once. */
    public static final String KEY = "Heatherreach-Key";
    /** The incarnation of the daemon that forwarded the request to the executor of its key. */
    public static final String FORWARDED = "Heatherreach-Forwarded";
    /** What is known about the execution of the request. */
    public static final String OUTCOME = "Heatherreach-Outcome";
    /** Why the daemon refused the request. */
    public static final String REASON = "Heatherreach-Reason";
    /** The id of the request, chosen by the daemon unless the caller sent one. */
    public static final String REQUEST_ID = "Heatherreach-Request-Id";
    /** Whether the answer is a recorded response to an earlier request with the same key. */
    public static final String REPLAYED = "Heatherreach-Replayed";
    /** Set to {@code true} by a backend server that refuses a request without running it. */
    public static final String BACKEND_SHED = "Backend-Shed";
    /** Set to {@code true} by a backend server that is draining and wants no new requests. */
    public static final String BACKEND_DRAINING = "Backend-Draining";
    /** The prefix of every header that daemons interpret or set. */
    public static final String PREFIX = "heatherreach-";
    /** The path prefix of a daemon's own endpoints. */
    public static final String ENDPOINT_PREFIX = "/heatherreach/";

    private CallHeaders() {}
}
