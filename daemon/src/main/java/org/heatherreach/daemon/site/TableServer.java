package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import org.heatherreach.daemon.site.TableInUse.EncodedTable;
import org.jboss.logging.Logger;

/**
 * Serves the routing table in use to the other daemons of the site, and passes the requests for a reader of the store on
 * to the {@link ReaderEndpoint}.
 *
 * <p>Invariants: it listens only once the routing table in use has had workspaces, or this daemon was a reader, so a site
 * without both opens no port; a connection for the routing table serves one request, and any connection is closed after a
 * bounded time unless it is that of a follower of this reader.
 *
 * <p>Thread safety: safe for use by any thread; connections are confined to the event loops of the group.
 */
final class TableServer {
    private static final Logger LOG = Logger.getLogger(TableServer.class);
    /** The largest table of 4 MB takes 3.2 s at the 10 Mbit/s of a small VM. */
    private static final long CONNECTION_LIMIT_MILLIS = 6_000;
    /** Transfers share the link of a small VM; a daemon that is turned away asks another peer. */
    private static final int MAX_CONNECTIONS = 8;

    private static final long BIND_RETRY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final EventLoopGroup group;
    private final InetSocketAddress address;
    private final TableInUse table;
    private final ReaderEndpoint readers;
    private final BooleanSupplier isReader;
    private final LongSupplier nanoClock;
    private final Counter served;
    private boolean started;
    private long nextBindNanos;
    /** Confined to the event loop. */
    private int connections;

    /**
     * Creates a server that does not listen yet.
     *
     * @param group one event loop
     * @param address the listening address
     * @param table supplies the routing table
     * @param readers handles the requests for a reader
     * @param isReader returns whether this daemon is a reader
     * @param meters counts the responses with a table
     * @param nanoClock the monotonic clock
     */
    TableServer(
            EventLoopGroup group,
            InetSocketAddress address,
            TableInUse table,
            ReaderEndpoint readers,
            BooleanSupplier isReader,
            MeterRegistry meters,
            LongSupplier nanoClock) {
        this.group = Objects.requireNonNull(group, "group");
        this.address = Objects.requireNonNull(address, "address");
        this.table = Objects.requireNonNull(table, "table");
        this.readers = Objects.requireNonNull(readers, "readers");
        this.isReader = Objects.requireNonNull(isReader, "isReader");
        this.served = meters.counter("heatherreach.table.served");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.nextBindNanos = nanoClock.getAsLong();
    }

    /** Starts to listen if the routing table in use has workspaces or this daemon is a reader; tries again later if the address is in use. */
    synchronized void startIfNeeded() {
        long nowNanos = nanoClock.getAsLong();
        boolean needed = table.hasWorkspaces() || isReader.getAsBoolean();
        if (started || !needed || nowNanos - nextBindNanos < 0) {
            return;
        }
        started = true;
        nextBindNanos = nowNanos + BIND_RETRY_NANOS;
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initConnection(channel);
                    }
                })
                .bind(address)
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        LOG.errorf("table listener=%s state=failed reason=\"%s\"", address, future.cause());
                        recordFailedBind();
                    }
                });
    }

    private synchronized void recordFailedBind() {
        started = false;
    }

    private void initConnection(Channel channel) {
        connections++;
        Future<?> limit =
                channel.eventLoop().schedule(() -> channel.close(), CONNECTION_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        RequestHandler handler = new RequestHandler(limit);
        channel.closeFuture().addListener(future -> {
            if (handler.followsReader) {
                readers.closed(channel);
            } else {
                connections--;
                limit.cancel(false);
            }
        });
        channel.pipeline().addLast(new HttpServerCodec(), handler);
    }

    private FullHttpResponse respond(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return empty(HttpResponseStatus.BAD_REQUEST);
        }
        if (!request.uri().equals(TableEndpoint.PATH)) {
            return empty(HttpResponseStatus.NOT_FOUND);
        }
        if (!request.method().equals(HttpMethod.GET)) {
            return empty(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        Option<EncodedTable> current = table.encoded();
        if (current.isEmpty()) {
            return empty(HttpResponseStatus.NOT_FOUND);
        }
        if (connections > MAX_CONNECTIONS) {
            return empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        served.increment();
        FullHttpResponse response = response(
                HttpResponseStatus.OK, Unpooled.wrappedBuffer(current.get().encoded()));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_OCTET_STREAM)
                .set(TableEndpoint.VERSION_HEADER, current.get().table().version());
        return response;
    }

    private static FullHttpResponse empty(HttpResponseStatus status) {
        return response(status, Unpooled.EMPTY_BUFFER);
    }

    private static FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final Future<?> connectionLimit;
        private boolean answered;
        /** Whether the connection is that of a follower, which sends further requests. */
        private boolean followsReader;

        private RequestHandler(Future<?> connectionLimit) {
            this.connectionLimit = connectionLimit;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpRequest request && isForReader(request)) {
                beginFollowing();
                readers.handle(context.channel(), request);
            } else if (part instanceof HttpRequest request && !answered) {
                answered = true;
                context.writeAndFlush(respond(request)).addListener(ChannelFutureListener.CLOSE);
            }
        }

        private boolean isForReader(HttpRequest request) {
            return !answered && request.decoderResult().isSuccess() && ReaderPaths.isForReader(request.uri());
        }

        private void beginFollowing() {
            if (!followsReader) {
                followsReader = true;
                connections--;
                connectionLimit.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
