package org.heatherreach.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Joins the small parts of a body that one read from the socket returned. Each part that is passed on costs a write and
 * a system call, so a peer that sends a body in chunks of a few bytes could otherwise keep the event loop busy.
 *
 * <p>Invariants: the bytes of a body keep their order; no byte is held back after the read that returned it.
 *
 * <p>Confined to the event loop of its channel.
 */
final class ContentCoalescer extends ChannelInboundHandlerAdapter {
    static final String NAME = "heatherreach.contentCoalescer";
    /** A larger part is passed on by itself, because copying it would cost more than its write. */
    private static final int MAX_SMALL_PART_BYTES = 1024;

    private static final int MAX_JOINED_BYTES = 16 * 1024;

    private ByteBuf joined;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (msg instanceof HttpContent content && isSmallPart(content)) {
            join(ctx, content);
            return;
        }
        passOnJoined(ctx);
        ctx.fireChannelRead(msg);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        passOnJoined(ctx);
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        passOnJoined(ctx);
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        passOnJoined(ctx);
        ctx.fireExceptionCaught(cause);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        if (joined != null) {
            joined.release();
            joined = null;
        }
    }

    private static boolean isSmallPart(HttpContent content) {
        return !(content instanceof LastHttpContent)
                && content.decoderResult().isSuccess()
                && content.content().readableBytes() <= MAX_SMALL_PART_BYTES;
    }

    private void join(ChannelHandlerContext ctx, HttpContent content) {
        ByteBuf part = content.content();
        if (joined != null && joined.readableBytes() + part.readableBytes() > MAX_JOINED_BYTES) {
            passOnJoined(ctx);
        }
        if (joined == null) {
            joined = ctx.alloc().buffer(MAX_SMALL_PART_BYTES, MAX_JOINED_BYTES);
        }
        joined.writeBytes(part);
        content.release();
    }

    private void passOnJoined(ChannelHandlerContext ctx) {
        if (joined != null) {
            ByteBuf bytes = joined;
            joined = null;
            ctx.fireChannelRead(new DefaultHttpContent(bytes));
        }
    }
}
