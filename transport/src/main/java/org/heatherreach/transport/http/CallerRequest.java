package org.heatherreach.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.heatherreach.protocol.http.CallParameters;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.workspace.Workspace;

/**
 * The head of a caller's request after it was accepted. Not modified after creation.
 *
 * @param method the HTTP method
 * @param target the path with its query, as received
 * @param headers the headers, as received, with secrets such as an API key
 * @param parameters the parameters that the caller set in headers
 * @param service the service
 * @param requestId the id of the request
 * @param terms the conditions of retries, priority and latency for this request
 * @param tableVersion the version of the routes by which the request was accepted; 0 if it was not recorded
 * @param workspace the workspace that the API key of the caller belongs to; empty if requests need no key
 * @param memory what the request has charged to the memory budget
 * @param arrivalNanos when the head arrived, on the clock of {@link System#nanoTime}
 * @param deadlineNanos the deadline for the head of the response, on the same clock
 */
record CallerRequest(
        String method,
        String target,
        HttpHeaders headers,
        CallParameters parameters,
        ServiceId service,
        RequestId requestId,
        CallTerms terms,
        long tableVersion,
        Option<Workspace> workspace,
        MemoryCharge memory,
        long arrivalNanos,
        long deadlineNanos) {
    boolean isSafe() {
        return terms.idempotent();
    }

    Option<String> key() {
        return parameters.key();
    }

    /** Omits the headers, because one of them may be an API key, which must not appear in logs. */
    @Override
    public String toString() {
        return "CallerRequest[requestId=" + requestId + ", service=" + service + "]";
    }
}
