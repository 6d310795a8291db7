package org.heatherreach.transport.http;

import reactor.core.publisher.Mono;

/** Answers requests to one of the daemon's own paths. Implementations are safe for use by any thread and never block. */
@FunctionalInterface
public interface Endpoint {
    /**
     * Answers a request.
     *
     * @param argument the rest of the path after the path of the endpoint, without a leading slash; empty if none
     * @param body the body of the request
     */
    Mono<EndpointAnswer> answer(String argument, byte[] body);
}
