package org.heatherreach.transport.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArraySet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Exchanges frames with peer daemons over TCP, with one outgoing connection to each peer in use.
 *
 * <p>Invariants: a response completes only the request with its correlation id, and only if it comes from the
 * incarnation to which the request was sent; a frame for another incarnation is not handled: a request gets an empty
 * response, any other frame closes its connection; a frame larger than 4 MB closes the connection; a frame is written
 * only while the outbound buffer is under its limit.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public final class PeerLinks implements AutoCloseable {
    /** A snapshot of the table at its target size takes about 2 MB. */
    static final int FRAME_LIMIT_BYTES = 4 << 20;

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final WriteBufferWaterMark OUTBOUND_LIMIT = new WriteBufferWaterMark(1 << 20, 8 << 20);

    private final EventLoopGroup group;
    private final IncarnationId self;
    private final PeerCounters counters;
    private final AtomicLong lastCorrelationId = new AtomicLong();
    private final Map<PeerAddress, ChannelFuture> connections = new ConcurrentHashMap<>();
    private final Map<Long, PendingResponse> pendingResponses = new ConcurrentHashMap<>();
    private final CopyOnWriteArraySet<Channel> acceptedChannels = new CopyOnWriteArraySet<>();
    private volatile Channel serverChannel;

    /** Creates links for the given process. The group stays open when the links are closed. */
    public PeerLinks(EventLoopGroup group, IncarnationId self, PeerCounters counters) {
        this.group = Objects.requireNonNull(group, "group");
        this.self = Objects.requireNonNull(self, "self");
        this.counters = Objects.requireNonNull(counters, "counters");
    }

    /**
     * Listens for connections from peers.
     *
     * @return the bound address
     * @throws IllegalStateException if the address can't be bound
     */
    public InetSocketAddress bind(String host, int port, FrameHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, OUTBOUND_LIMIT)
                .childHandler(initializer(handler));
        ChannelFuture future = bootstrap.bind(host, port).awaitUninterruptibly();
        if (!future.isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen for connections from peers on " + host + ':' + port, future.cause());
        }
        serverChannel = future.channel();
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Sends a frame that expects no response. A failure is counted but not reported to the caller. */
    public void send(PeerAddress peer, Frame.Builder frame) {
        Frame completeFrame = frame.setSender(self.value())
                .setReceiver(peer.incarnation().value())
                .build();
        connection(peer).addListener((ChannelFuture opened) -> {
            if (!opened.isSuccess()) {
                counters.countFailure(PeerFailure.UNREACHABLE);
            } else if (!write(opened.channel(), completeFrame)) {
                counters.countFailure(PeerFailure.OVERLOADED);
            }
        });
    }

    /**
     * Sends a frame when subscribed and emits its response.
     *
     * @return the response, or an error signal with a {@link PeerException}
     */
    public Mono<Frame> request(PeerAddress peer, Frame.Builder frame, int timeoutMillis) {
        return Mono.create(sink -> {
            long correlationId = lastCorrelationId.incrementAndGet();
            Frame completeFrame = frame.setSender(self.value())
                    .setReceiver(peer.incarnation().value())
                    .setCorrelation(correlationId)
                    .setTimeoutMs(timeoutMillis)
                    .build();
            PendingResponse pending = new PendingResponse(peer, sink);
            pendingResponses.put(correlationId, pending);
            var timeout = group.schedule(
                    () -> fail(correlationId, PeerFailure.TIMEOUT), timeoutMillis, TimeUnit.MILLISECONDS);
            sink.onDispose(() -> {
                timeout.cancel(false);
                pendingResponses.remove(correlationId);
            });
            connection(peer).addListener((ChannelFuture opened) -> {
                if (!opened.isSuccess()) {
                    fail(correlationId, PeerFailure.UNREACHABLE);
                    return;
                }
                pending.setChannel(opened.channel());
                if (!write(opened.channel(), completeFrame)) {
                    fail(correlationId, PeerFailure.OVERLOADED);
                }
            });
        });
    }

    /** Closes the outgoing connection to a peer that has left or died. Its pending requests fail. */
    public void disconnect(PeerAddress peer) {
        ChannelFuture future = connections.remove(peer);
        if (future != null) {
            future.channel().close();
        }
    }

    /** Returns how many outgoing connections are open or being established. */
    public int openConnections() {
        return connections.size();
    }

    /** Closes the listening socket and every connection. */
    @Override
    public void close() {
        if (serverChannel != null) {
            serverChannel.close();
        }
        connections.values().forEach(future -> future.channel().close());
        acceptedChannels.forEach(Channel::close);
    }

    private ChannelFuture connection(PeerAddress peer) {
        return connections.computeIfAbsent(peer, this::connect);
    }

    private ChannelFuture connect(PeerAddress peer) {
        ChannelFuture future = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, OUTBOUND_LIMIT)
                .handler(initializer((frame, reply) -> counters.countRefusedFrame()))
                .connect(peer.socketAddress());
        future.channel().closeFuture().addListener(closed -> {
            connections.remove(peer, future);
            failPendingResponses(future.channel());
        });
        return future;
    }

    private boolean write(Channel channel, Frame frame) {
        if (!channel.isWritable()) {
            return false;
        }
        counters.countSent(frame.getSerializedSize() + LENGTH_FIELD_BYTES);
        channel.writeAndFlush(frame);
        return true;
    }

    private ChannelInitializer<Channel> initializer(FrameHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                ChannelPipeline pipeline = channel.pipeline();
                pipeline.addLast(new LengthFieldBasedFrameDecoder(
                        FRAME_LIMIT_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
                pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
                pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
                pipeline.addLast(new ProtobufEncoder());
                pipeline.addLast(new InboundHandler(handler));
                if (channel.parent() != null) {
                    acceptedChannels.add(channel);
                    channel.closeFuture().addListener(closed -> acceptedChannels.remove(channel));
                }
            }
        };
    }

    private void fail(long correlationId, PeerFailure failure) {
        PendingResponse pending = pendingResponses.remove(correlationId);
        if (pending != null) {
            counters.countFailure(failure);
            pending.sink.error(new PeerException(failure, pending.peer));
        }
    }

    private void failPendingResponses(Channel channel) {
        pendingResponses.forEach((correlationId, pending) -> {
            if (pending.channel == channel) {
                fail(correlationId, PeerFailure.CONNECTION_LOST);
            }
        });
    }

    private void acceptResponse(Frame frame) {
        PendingResponse pending = pendingResponses.get(frame.getCorrelation());
        if (pending == null) {
            return;
        }
        if (pending.peer.incarnation().value() != frame.getSender()) {
            fail(frame.getCorrelation(), PeerFailure.WRONG_INCARNATION);
            return;
        }
        if (pendingResponses.remove(frame.getCorrelation(), pending)) {
            pending.sink.success(frame);
        }
    }

    private void reply(Channel channel, Frame request, Frame.Builder response) {
        write(
                channel,
                response.setSender(self.value())
                        .setReceiver(request.getSender())
                        .setCorrelation(request.getCorrelation())
                        .setResponse(true)
                        .build());
    }

    /** A request that waits for its response. The channel is set once, before the request is written. */
    private static final class PendingResponse {
        private final PeerAddress peer;
        private final MonoSink<Frame> sink;
        private volatile Channel channel;

        PendingResponse(PeerAddress peer, MonoSink<Frame> sink) {
            this.peer = peer;
            this.sink = sink;
        }

        void setChannel(Channel usedChannel) {
            channel = usedChannel;
        }
    }

    private final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
        private final FrameHandler handler;

        InboundHandler(FrameHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            counters.countReceived(frame.getSerializedSize() + LENGTH_FIELD_BYTES);
            if (frame.getReceiver() != self.value()) {
                counters.countRefusedFrame();
                refuse(context, frame);
            } else if (frame.getResponse()) {
                acceptResponse(frame);
            } else {
                handler.receive(frame, response -> reply(context.channel(), frame, response));
            }
        }

        private void refuse(ChannelHandlerContext context, Frame frame) {
            if (!frame.getResponse() && frame.getCorrelation() != 0) {
                // An empty response from this incarnation tells the sender that its request was not handled.
                reply(context.channel(), frame, Frame.newBuilder());
            } else {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
