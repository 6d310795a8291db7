package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.heatherreach.transport.metric.RequestMeters;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * HTTP clients for backend servers and other daemons, with connections pooled by address. A connection returns to the
 * pool only after a complete exchange without a framing violation. Safe for use by any thread.
 */
final class BackendClients implements AutoCloseable {
    private static final int MAX_PENDING_ACQUIRES = 10_000;
    private static final int DECODER_MARGIN_BYTES = 1024;

    private final ProxyLimits limits;
    private final RequestMeters meters;
    private final LoopResources loops;
    private final Map<Integer, ConnectionProvider> providers = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, HttpClient> clients = new ConcurrentHashMap<>();

    BackendClients(ProxyLimits limits, RequestMeters meters, LoopResources loops) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.meters = Objects.requireNonNull(meters, "meters");
        this.loops = Objects.requireNonNull(loops, "loops");
    }

    /**
     * Returns the client of an address; the maximum number of connections is applied on the first use of the address.
     */
    HttpClient client(InetSocketAddress address, int maxConnections) {
        HttpClient client = clients.get(address);
        return client != null ? client : clients.computeIfAbsent(address, key -> create(key, maxConnections));
    }

    private HttpClient create(InetSocketAddress address, int maxConnections) {
        ConnectionProvider provider = limits.reusesBackendConnections()
                ? providers.computeIfAbsent(maxConnections, this::pool)
                : ConnectionProvider.newConnection();
        return HttpClient.create(provider)
                .remoteAddress(() -> address)
                .runOn(loops)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
                // A retry inside the client could run a request twice, and no retry reason would be counted.
                .disableRetry(true)
                .httpResponseDecoder(spec -> spec.maxHeaderSize(limits.headBytes() + DECODER_MARGIN_BYTES)
                        .maxInitialLineLength(limits.headBytes() + DECODER_MARGIN_BYTES))
                .doOnChannelInit((observer, channel, remote) -> {
                    channel.pipeline().addFirst(BackendGuard.NAME, new BackendGuard(limits, meters));
                    channel.pipeline()
                            .addBefore(NettyPipeline.ReactiveBridge, ContentCoalescer.NAME, new ContentCoalescer());
                });
    }

    private ConnectionProvider pool(int maxConnections) {
        return ConnectionProvider.builder("backend-" + maxConnections)
                .maxConnections(maxConnections)
                .pendingAcquireMaxCount(MAX_PENDING_ACQUIRES)
                .pendingAcquireTimeout(Duration.ofMillis(limits.connectTimeoutMillis()))
                .lifo()
                .evictionPredicate((connection, metadata) ->
                        metadata.idleTime() > limits.idleTimeoutMillis() || !isReusable(connection.channel()))
                .build();
    }

    private static boolean isReusable(Channel channel) {
        BackendGuard guard = channel.pipeline().get(BackendGuard.class);
        return channel.isActive() && guard != null && guard.isReusable();
    }

    @Override
    public void close() {
        providers.values().forEach(ConnectionProvider::dispose);
    }
}
