package org.heatherreach.transport.http;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import org.heatherreach.protocol.http.MessageScanner;
import org.heatherreach.transport.metric.RequestMeters;

/**
 * Checks the bytes of a connection to a server before the HTTP decoder sees them. Bytes that belong to no exchange, or
 * that follow the end of a response, could be taken for the answer to a later request, so the connection is closed.
 *
 * <p>Confined to the event loop of its channel.
 */
final class BackendGuard extends ChannelDuplexHandler {
    static final String NAME = "heatherreach.backendGuard";

    private final RequestMeters meters;
    private final MessageScanner scanner;
    private ChannelHandlerContext context;
    private boolean bodyless;
    private boolean active;
    private boolean closed;

    BackendGuard(ProxyLimits limits, RequestMeters meters) {
        this.meters = Objects.requireNonNull(meters, "meters");
        this.scanner = MessageScanner.forResponses(limits.headBytes());
    }

    /** Begins an exchange; its request has not been written yet. */
    void begin(String method) {
        active = true;
        bodyless = "HEAD".equals(method);
        scanner.reset(bodyless);
    }

    /** Returns whether the response ends with the connection, so that its completeness can't be checked. */
    boolean isUnframed() {
        return scanner.state() == MessageScanner.State.UNTIL_CLOSE;
    }

    /** Ends the connection because what it carries can't be trusted; called on its event loop. */
    void distrust() {
        closeInDoubt(context);
    }

    /** Returns whether no exchange is under way and the connection is free of doubt. */
    boolean isReusable() {
        return !active && !closed;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (!(msg instanceof ByteBuf bytes)) {
            ctx.fireChannelRead(msg);
            return;
        }
        if (!active || closed) {
            bytes.release();
            closeInDoubt(ctx);
            return;
        }
        int index = bytes.readerIndex();
        int end = bytes.writerIndex();
        while (index < end && scanner.state() != MessageScanner.State.FAILED && active) {
            long skippable = scanner.skippable();
            if (skippable > 0) {
                int count = (int) Math.min(skippable, end - index);
                scanner.skip(count);
                index += count;
            } else {
                scanner.accept(bytes.getByte(index));
                index++;
            }
            if (scanner.state() == MessageScanner.State.INTERIM) {
                scanner.reset(bodyless);
            } else if (scanner.state() == MessageScanner.State.ENDED) {
                active = false;
            }
        }
        if (scanner.state() == MessageScanner.State.FAILED) {
            bytes.release();
            closeInDoubt(ctx);
            return;
        }
        boolean leftover = index < end;
        if (leftover) {
            // Marked before the response is passed on, so that the pool never takes the connection as usable.
            closed = true;
            bytes.writerIndex(index);
        }
        ctx.fireChannelRead(bytes);
        if (leftover) {
            meters.countDoubtfulConnection();
            ctx.close();
        }
    }

    private void closeInDoubt(ChannelHandlerContext ctx) {
        if (!closed) {
            closed = true;
            meters.countDoubtfulConnection();
            ctx.close();
        }
    }
}
