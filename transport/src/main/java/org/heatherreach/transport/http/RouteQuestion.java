package org.heatherreach.transport.http;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;

/**
 * A request of which only the decision is asked; it is never sent. Immutable and safe for use by any thread.
 *
 * @param service the service of the request
 * @param workspace the workspace of the caller, if any
 * @param timeoutMillis how long the caller would wait
 * @param terms the conditions of retries, priority and latency for the request
 * @param traits what may tell how much work the request is
 */
public record RouteQuestion(
        ServiceId service, Option<WorkspaceId> workspace, long timeoutMillis, CallTerms terms, RequestTraits traits) {
    /** Creates a question. */
    public RouteQuestion {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(traits, "traits");
    }
}
