package org.heatherreach.transport.http;

import java.util.Objects;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;

/**
 * Writes the headers of a request to a backend server or to another daemon.
 *
 * <p>Invariant: a request to a server carries the headers of the dialect; a request that is forwarded to another daemon
 * carries the incarnation of this daemon.
 *
 * <p>Thread safety: has no mutable state of its own; the headers of the caller's request must not change meanwhile.
 */
final class RequestHeaderWriter {
    private final CallDialect dialect;
    private final CallerRequest request;
    private final Option<ServerId> server;
    private final IncarnationId forwardedBy;

    /**
     * Creates a writer.
     *
     * @param server the target server; none if the request is forwarded to another daemon
     * @param forwardedBy the incarnation of this daemon; used only if the request is forwarded
     */
    RequestHeaderWriter(
            CallDialect dialect, CallerRequest request, Option<ServerId> server, IncarnationId forwardedBy) {
        this.dialect = Objects.requireNonNull(dialect, "dialect");
        this.request = Objects.requireNonNull(request, "request");
        this.server = Objects.requireNonNull(server, "server");
        this.forwardedBy = Objects.requireNonNull(forwardedBy, "forwardedBy");
    }

    /** Replaces the headers by those of the request, whose deadline is the given time away. */
    void write(HttpHeaders headers, long remainingMillis) {
        headers.clear();
        HopByHopHeaders.copy(request.headers(), headers, "");
        if (server.isDefined()) {
            dialect.addRequestHeaders(headers, request.requestId(), server.get(), request.workspace(), remainingMillis);
        } else {
            headers.set(CallHeaders.TIMEOUT_MS, Long.toString(remainingMillis));
            headers.set(CallHeaders.REQUEST_ID, request.requestId().toString());
            headers.set(CallHeaders.FORWARDED, forwardedBy.toString());
            headers.set(CallHeaders.SERVICE, request.service().toString());
        }
    }
}
