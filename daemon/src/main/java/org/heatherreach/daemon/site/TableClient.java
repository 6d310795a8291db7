package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.Objects;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.NetUtil;

/**
 * Fetches the routing table of another daemon over a connection of its own, which is closed at the end.
 *
 * <p>Invariants: a listener is told of one end at most, and of none after the fetch was cancelled; at most
 * {@link #MAX_TABLE_BYTES} are kept.
 *
 * <p>Confined to the event loop.
 */
final class TableClient {
    /** Larger tables are not fetched, because they would take the link of a small VM for too long. */
    static final int MAX_TABLE_BYTES = 4 * 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoop loop;

    /** Learns how a fetch goes; called by the event loop. */
    interface Listener {
        /** Handles a part of the response. */
        void progressed();

        /** Handles a complete routing table. */
        void completed(byte[] encoded);

        /** Handles the end of a fetch without a routing table. */
        void failed(String reason);
    }

    /** Creates a client whose connections use an event loop. */
    TableClient(EventLoop loop) {
        this.loop = Objects.requireNonNull(loop, "loop");
    }

    /**
     * Begins a fetch.
     *
     * @return cancels the fetch; has no effect after its end
     */
    Runnable fetch(InetSocketAddress peer, Listener listener) {
        ResponseHandler handler = new ResponseHandler(listener);
        ChannelFuture connection = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), handler);
                    }
                })
                .connect(peer);
        connection.addListener(future -> {
            if (future.isSuccess()) {
                connection.channel().writeAndFlush(request(peer));
            } else {
                handler.end(() -> listener.failed("not reachable"));
            }
        });
        return () -> handler.end(() -> connection.channel().close());
    }

    private static DefaultFullHttpRequest request(InetSocketAddress peer) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, TableEndpoint.PATH, Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(peer))
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return request;
    }

    private static final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final Listener listener;
        private final ByteBuf body = Unpooled.buffer(0, MAX_TABLE_BYTES);
        private boolean ended;

        private ResponseHandler(Listener listener) {
            this.listener = Objects.requireNonNull(listener, "listener");
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (ended) {
                return;
            }
            listener.progressed();
            if (part.decoderResult().isFailure()) {
                fail(context, "not HTTP");
                return;
            }
            if (part instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
                fail(context, "status " + response.status().code());
                return;
            }
            if (part instanceof HttpResponse response && !HttpUtil.isContentLengthSet(response)) {
                // Without a length, a table that broke off can't be told from a whole one.
                fail(context, "no length");
                return;
            }
            if (part instanceof HttpResponse response
                    && HttpUtil.getContentLength(response, Long.MAX_VALUE) > MAX_TABLE_BYTES) {
                fail(context, "too large");
                return;
            }
            if (part instanceof HttpContent content) {
                // The decoder passes no more bytes than the length that was checked.
                body.writeBytes(content.content());
            }
            if (part instanceof LastHttpContent) {
                byte[] encoded = new byte[body.readableBytes()];
                body.readBytes(encoded);
                end(() -> listener.completed(encoded));
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(() -> listener.failed("connection closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(context, "connection failed");
        }

        private void fail(ChannelHandlerContext context, String reason) {
            end(() -> listener.failed(reason));
            context.close();
        }

        private void end(Runnable last) {
            if (!ended) {
                ended = true;
                last.run();
            }
        }
    }
}
