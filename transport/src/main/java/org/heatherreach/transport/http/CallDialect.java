package org.heatherreach.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.route.CallerLimits;
import org.heatherreach.state.workspace.Workspace;

/**
 * Maps the headers and status codes of one protocol variant to requests and outcomes, and back. It makes no routing or
 * retry decisions. Implementations are safe for use by any thread.
 */
public interface CallDialect {
    /** Returns whether the target is one of the daemon's own endpoints on the address for callers. */
    boolean isEndpoint(String target);

    /**
     * Parses the head of a request.
     *
     * @param method the HTTP method
     * @param target the path with its query, as received
     * @return the accepted call, or the reason of the refusal
     */
    Either<RefusalReason, AcceptedCall> accept(String method, String target, HttpHeaders headers);

    /** Returns the request id that the caller set; empty if there is none or it is malformed. */
    Option<RequestId> requestId(HttpHeaders headers);

    /** Returns whether responses carry the request id and the outcome in Heatherreach headers. */
    boolean addsOutcomeHeaders();

    /**
     * Adds the headers that the server needs, such as the request id and the remaining time, and removes those that are
     * meant for the daemon only. Called for each attempt.
     *
     * @param headers the end-to-end headers of the caller's request
     * @param workspace the workspace of the caller; empty if the caller has none
     */
    void addRequestHeaders(
            HttpHeaders headers,
            RequestId requestId,
            ServerId server,
            Option<Workspace> workspace,
            long remainingMillis);

    /** Returns what the head of a server's response says about the execution of the request. */
    ResponseKind classifyResponse(int statusCode, HttpHeaders headers);

    /** Returns whether a server's response announces that the server is about to stop. */
    boolean announcesLeaving(HttpHeaders headers);

    /**
     * Returns for how long a server that turned a request away wants no requests from this daemon; empty if its
     * response does not say so.
     */
    Option<Long> quietMillis(int statusCode, HttpHeaders headers);

    /** Returns the request id that a server's response echoes; empty if it has none. */
    Option<String> echoedId(HttpHeaders headers);

    /**
     * Returns the lower-case prefix of the response headers that are not relayed to callers; empty if all are relayed.
     */
    String omittedResponseHeaderPrefix();

    /** Returns whether a response that is delimited by the end of its connection is relayed. */
    boolean relaysCloseDelimitedResponses();

    /** Returns the status code of a refusal that the daemon generates itself. */
    int statusCode(RefusalReason reason, Outcome outcome);

    /** Returns the limits on callers that the operator has set; empty if there are none. */
    Option<CallerLimits> callerLimits();

    /** Returns whether the address of the caller is part of the fingerprint that identifies repeated requests. */
    boolean fingerprintIncludesCaller();

    /** Returns the value of the {@code Retry-After} header of a refusal. */
    String retryAfter(long millis);
}
