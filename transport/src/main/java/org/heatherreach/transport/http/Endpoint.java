package org.heatherreach.transport.http;

import reactor.core.publisher.Mono;

/**
 * Handles requests to one of the daemon's own endpoints. Implementations are safe for use by any thread and never
 * block.
 */
@FunctionalInterface
public interface Endpoint {
    /**
     * Handles a request and returns its response.
     *
     * @param argument the part of the path that follows the path of the endpoint, without a leading slash; empty if
     *     there is none
     * @param body the body of the request
     */
    Mono<EndpointResponse> handle(String argument, byte[] body);
}
