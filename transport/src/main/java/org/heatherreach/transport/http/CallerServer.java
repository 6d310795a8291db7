package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.metric.RequestMeters;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * The HTTP server for callers. Safe for use by any thread.
 *
 * <p>Order of a graceful shutdown: {@link ServingGate#leave}, {@link ServingGate#drain}, {@link ServingGate#stop},
 * {@link #refuseUnassigned} if the time is limited, and then {@link #finish}.
 */
public final class CallerServer implements AutoCloseable {
    // CallerGuard enforces the exact limit of the head size; the decoder behind it must not be stricter.
    private static final int DECODER_MARGIN_BYTES = 1024;
    private static final int BACKLOG = 1024;
    private static final long FINISH_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long READ_AHEAD_BYTES = 8 * 1024 * 1024;

    private final RequestMeters meters;
    private final LoopResources loops;
    private final BackendClients clients;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger openConnections = new AtomicInteger();
    private final ProxyHandler handler;
    private final DisposableServer server;

    /**
     * Binds the server and starts to serve.
     *
     * @param address the address to listen on; port 0 picks a free one
     * @param ioThreads the number of event loops
     * @param parts the components of the request path
     * @param endpoints the daemon's own endpoints; a key consists of the method, a space and the path, and a path that
     *     ends with a slash takes an argument
     * @throws RuntimeException if the address can't be bound
     */
    public CallerServer(InetSocketAddress address, int ioThreads, ProxyParts parts, Map<String, Endpoint> endpoints) {
        Objects.requireNonNull(address, "address");
        ProxyLimits limits = parts.limits();
        this.meters = parts.meters();
        this.loops = LoopResources.create("http", 1, ioThreads, true);
        this.clients = new BackendClients(limits, meters, loops);
        this.handler = new ProxyHandler(parts, clients, endpoints);
        ReadAheadBudget readAhead = new ReadAheadBudget(READ_AHEAD_BYTES);
        this.server = HttpServer.create()
                .bindAddress(() -> address)
                .runOn(loops)
                .protocol(HttpProtocol.HTTP11)
                .channelGroup(channels)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, FairReads.allocator())
                .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.headBytes() + DECODER_MARGIN_BYTES)
                        .maxInitialLineLength(limits.headBytes() + DECODER_MARGIN_BYTES)
                        .allowDuplicateContentLengths(false)
                        .validateHeaders(true))
                .doOnChannelInit((observer, channel, remote) -> {
                    // The size of the channel group can't be used: a channel is added only after this step.
                    if (openConnections.incrementAndGet() > limits.connections()) {
                        openConnections.decrementAndGet();
                        meters.countRefusedConnection();
                        channel.close();
                        return;
                    }
                    channel.closeFuture().addListener(future -> openConnections.decrementAndGet());
                    CallerGuard guard = new CallerGuard(
                            parts::callerLimits, meters, parts.requestIds(), parts.history(), readAhead);
                    channel.pipeline().addFirst(CallerGuard.NAME, guard);
                    channel.pipeline().addAfter(NettyPipeline.HttpCodec, CallerGuard.TRACKER_NAME, guard.tracker());
                    channel.pipeline()
                            .addBefore(NettyPipeline.ReactiveBridge, ContentCoalescer.NAME, new ContentCoalescer());
                })
                .handle(handler)
                .bindNow();
        for (int i = 0; i < ioThreads; i++) {
            new LoopDelayMonitor(loops.onServer(true).next(), meters).start();
        }
    }

    /** Returns the requests and retries of each service in the window of its retry budget. */
    public Map<ServiceId, RetryUsage> retryUsage() {
        return handler.budgets().usage(System.nanoTime());
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.port();
    }

    /** Returns how many requests are in flight. */
    public int inFlight() {
        return meters.inFlight();
    }

    /**
     * Refuses the requests that have not been assigned to a server, as not run; those that were are not affected. May be
     * called repeatedly.
     */
    public void refuseUnassigned() {
        forEachConnection(guard -> guard.applyToExchange(ExchangeControl::refuseUnassigned));
    }

    /**
     * Stops listening, answers every request that is left, and closes each connection once its responses are written and
     * the caller has closed it too. Blocks until all are closed; what is left at the deadline is reset.
     */
    public void finish(long deadlineNanos) {
        server.channel().close().awaitUninterruptibly();
        forEachConnection(guard -> guard.applyToExchange(ExchangeControl::endNow));
        while (openConnections.get() > 0 && deadlineNanos - System.nanoTime() > 0) {
            forEachConnection(CallerGuard::closeWhenAnswered);
            LockSupport.parkNanos(FINISH_POLL_NANOS);
        }
        forEachConnection(CallerGuard::reset);
    }

    private void forEachConnection(Consumer<CallerGuard> action) {
        for (Channel channel : channels) {
            CallerGuard guard = channel.pipeline().get(CallerGuard.class);
            if (guard != null) {
                channel.eventLoop().execute(() -> action.accept(guard));
            }
        }
    }

    /** Stops listening, closes every connection and frees the event loops. */
    @Override
    public void close() {
        // disposeNow() waits three seconds for requests in flight and then fails, so connections are closed first.
        server.channel().close().awaitUninterruptibly();
        channels.close().awaitUninterruptibly();
        server.disposeNow();
        clients.close();
        loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
    }
}
