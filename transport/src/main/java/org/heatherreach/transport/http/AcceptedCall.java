package org.heatherreach.transport.http;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.protocol.http.CallParameters;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.workspace.Workspace;

/**
 * A request whose head was parsed and accepted. Immutable and safe for use by any thread.
 *
 * @param parameters the parameters that the caller set in headers
 * @param service the service that the request is for
 * @param requestId the id of the request
 * @param timeoutMillis how long the caller waits for the response, from the arrival of the head
 * @param terms the conditions of retries, priority and latency for this request
 * @param tableVersion the version of the routes by which the request was accepted; 0 if it was not recorded
 * @param workspace the workspace that the API key of the caller identifies; empty if there is none
 */
public record AcceptedCall(
        CallParameters parameters,
        ServiceId service,
        RequestId requestId,
        long timeoutMillis,
        CallTerms terms,
        long tableVersion,
        Option<Workspace> workspace) {
    /** Creates a call. */
    public AcceptedCall {
        Objects.requireNonNull(parameters, "parameters");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(workspace, "workspace");
    }
}
