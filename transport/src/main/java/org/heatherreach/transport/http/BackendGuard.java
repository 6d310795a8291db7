package org.heatherreach.transport.http;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.vavr.control.Option;
import org.heatherreach.protocol.http.InvalidStatus;
import org.heatherreach.protocol.http.MessageScanner;
import org.heatherreach.transport.metric.RequestMeters;

/**
 * Checks the response framing on a backend connection ahead of the HTTP decoder. Bytes that arrive outside an exchange
 * or after the end of a response could be taken for the response to a later request, so the connection is closed.
 *
 * <p>Invariant: a response counts as complete only if its framing says so, or, without a length, if the server closed
 * the connection; a response is cut by a reset, by a failed write and by a close of this daemon.
 *
 * <p>Confined to the event loop of its channel.
 */
final class BackendGuard extends ChannelDuplexHandler {
    static final String NAME = "heatherreach.backendGuard";
    /** A server that sends more of them before its answer may go on without end. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private final RequestMeters meters;
    private final MessageScanner scanner;
    private ChannelHandlerContext context;
    private Runnable completionListener = () -> {};
    private boolean bodyless;
    private int interimResponses;
    private boolean exchangeActive;
    private boolean closed;
    /** Whether the connection failed or was closed by this daemon, so that its end is not the end of a response. */
    private boolean broken;

    BackendGuard(ProxyLimits limits, RequestMeters meters) {
        this.meters = Objects.requireNonNull(meters, "meters");
        this.scanner = MessageScanner.forResponses(limits.headBytes());
    }

    /**
     * Starts an exchange; called before its request is written.
     *
     * @param listener notified when the last byte of the response has arrived, before that byte is passed on
     */
    void begin(String method, Runnable listener) {
        completionListener = Objects.requireNonNull(listener, "listener");
        exchangeActive = true;
        bodyless = "HEAD".equals(method);
        interimResponses = 0;
        scanner.reset(bodyless);
    }

    /** Returns whether the response is delimited by the end of the connection, so its completeness can't be checked. */
    boolean isCloseDelimited() {
        return scanner.state() == MessageScanner.State.UNTIL_CLOSE;
    }

    /** Returns why the status of the response is invalid; empty if it is not, or has not arrived. */
    Option<InvalidStatus> invalidStatus() {
        return scanner.invalidStatus();
    }

    /** Closes the connection because its responses can't be trusted; called on its event loop. */
    void closeUntrusted() {
        closeAndCount(context);
    }

    /** Returns whether no exchange is in progress and the connection was not closed for a violation. */
    boolean isReusable() {
        return !exchangeActive && !closed;
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
        if (!exchangeActive || closed) {
            bytes.release();
            closeAndCount(ctx);
            return;
        }
        int index = bytes.readerIndex();
        int end = bytes.writerIndex();
        while (index < end && scanner.state() != MessageScanner.State.FAILED && exchangeActive) {
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
                if (!isExpectedInterim()) {
                    bytes.release();
                    closeAndCount(ctx);
                    return;
                }
                scanner.reset(bodyless);
            } else if (scanner.state() == MessageScanner.State.ENDED) {
                completeExchange();
            }
        }
        if (scanner.state() == MessageScanner.State.FAILED) {
            bytes.release();
            scanner.invalidStatus().forEach(meters::countInvalidStatus);
            closeAndCount(ctx);
            return;
        }
        boolean hasSurplus = index < end;
        if (hasSurplus) {
            // Set before the response is passed on, so that the pool never regards the connection as reusable.
            closed = true;
            bytes.writerIndex(index);
        }
        ctx.fireChannelRead(bytes);
        if (hasSurplus) {
            meters.countDoubtfulConnection();
            ctx.close();
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) throws Exception {
        // A failed write closes the channel just as the end of the server's input does.
        ctx.write(msg, promise.unvoid()).addListener(future -> broken |= !future.isSuccess());
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) throws Exception {
        broken = true;
        ctx.close(promise);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        broken = true;
        ctx.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        if (exchangeActive && isCloseDelimited() && !broken && !closed) {
            completeExchange();
        }
        ctx.fireChannelInactive();
    }

    private void completeExchange() {
        exchangeActive = false;
        completionListener.run();
    }

    /** Returns whether an interim response can be skipped. */
    private boolean isExpectedInterim() {
        interimResponses++;
        return interimResponses <= MAX_INTERIM_RESPONSES;
    }

    private void closeAndCount(ChannelHandlerContext ctx) {
        if (!closed) {
            closed = true;
            meters.countDoubtfulConnection();
            ctx.close();
        }
    }
}
