package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * Serves endpoints of the daemon itself on separate addresses. All addresses share one event loop, so handlers must not
 * block. Safe for use by any thread.
 */
public final class EndpointServer implements AutoCloseable {
    private static final int BACKLOG = 512;

    private final LoopResources loops = LoopResources.create("endpoints", 1, true);
    private final List<DisposableServer> servers = new ArrayList<>();

    /**
     * Binds an address and starts to serve requests to it.
     *
     * @param handler returns the response to a path with its query
     * @throws RuntimeException if the address can't be bound
     */
    public void bind(InetSocketAddress address, Function<String, EndpointResponse> handler) {
        bindDeferred(address, target -> Mono.just(handler.apply(target)));
    }

    /**
     * Binds an address and starts to serve requests to it, whose responses may come later.
     *
     * @param handler returns the response to a path with its query; it must not fail
     * @throws RuntimeException if the address can't be bound
     */
    public synchronized void bindDeferred(InetSocketAddress address, Function<String, Mono<EndpointResponse>> handler) {
        servers.add(HttpServer.create()
                .bindAddress(() -> address)
                .runOn(loops)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .handle((request, response) -> handler.apply(request.uri())
                        .flatMap(result -> response.status(result.statusCode())
                                .header(HttpHeaderNames.CONTENT_TYPE, result.contentType())
                                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(result.body().length))
                                .sendByteArray(Mono.just(result.body()))
                                .then()))
                .bindNow());
    }

    /** Closes all addresses. */
    @Override
    public synchronized void close() {
        servers.forEach(DisposableServer::disposeNow);
        loops.dispose();
    }
}
