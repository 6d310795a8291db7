package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.LongSupplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import org.heatherreach.protocol.peer.wire.ReaderResponse;

/**
 * Sends the calls of a follower to a reader, one after the other over one connection, which stays open between them.
 *
 * <p>Invariants: one call is in progress at most; a listener is told of one end at most, and of none after the call was
 * cancelled. A cancelled call closes its connection.
 *
 * <p>Thread safety: safe for use by any thread; listeners are called by the event loop.
 */
final class ReaderClient implements ReaderCalls {
    /** More than a reader sends in one burst. */
    private static final int MAX_RESPONSE_BYTES = 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private Channel channel;
    private InetSocketAddress address;
    private Call current;

    private final class Call {
        private final InetSocketAddress reader;
        private final String target;
        private final Listener listener;
        private long sentNanos;

        private Call(InetSocketAddress reader, String target, Listener listener) {
            this.reader = reader;
            this.target = target;
            this.listener = listener;
        }
    }

    /** Creates a client whose connections use an event loop. */
    ReaderClient(EventLoop loop, LongSupplier nanoClock) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
    }

    @Override
    public Runnable call(InetSocketAddress reader, String target, Listener listener) {
        Call call = new Call(reader, target, listener);
        loop.execute(() -> begin(call));
        return () -> loop.execute(() -> cancel(call));
    }

    private void begin(Call call) {
        if (current != null) {
            drop();
        }
        current = call;
        call.sentNanos = nanoClock.getAsLong();
        if (channel != null && channel.isActive() && call.reader.equals(address)) {
            send(call);
        } else {
            drop();
            current = call;
            connect(call);
        }
    }

    private void connect(Call call) {
        address = call.reader;
        ChannelFuture connection = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        opened.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ResponseHandler());
                    }
                })
                .connect(call.reader);
        channel = connection.channel();
        connection.addListener(future -> {
            if (connection.channel() != channel) {
                return;
            }
            if (future.isSuccess()) {
                send(call);
            } else {
                fail("not reachable");
            }
        });
    }

    private void send(Call call) {
        if (current != call) {
            return;
        }
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, call.target, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(call.reader));
        channel.writeAndFlush(request);
    }

    private void cancel(Call call) {
        if (current == call) {
            drop();
        }
    }

    private void fail(String reason) {
        Call failed = current;
        drop();
        if (failed != null) {
            failed.listener.failed(reason);
        }
    }

    private void drop() {
        current = null;
        Channel dropped = channel;
        channel = null;
        if (dropped != null) {
            dropped.close();
        }
    }

    private void handle(FullHttpResponse response) {
        Call answered = current;
        if (answered == null) {
            fail("unexpected response");
            return;
        }
        if (!response.status().equals(HttpResponseStatus.OK)) {
            current = null;
            answered.listener.failed("status " + response.status().code());
            return;
        }
        ReaderResponse decoded;
        try {
            decoded = ReaderResponse.parseFrom(ByteBufUtil.getBytes(response.content()));
        } catch (InvalidProtocolBufferException e) {
            fail("malformed response");
            return;
        }
        current = null;
        answered.listener.completed(ReaderAnswer.of(decoded, answered.sentNanos));
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (context.channel() != channel) {
                return;
            }
            if (response.decoderResult().isFailure()) {
                fail("not HTTP");
            } else {
                handle(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                fail("connection closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (context.channel() == channel) {
                fail("connection failed");
            }
        }
    }
}
