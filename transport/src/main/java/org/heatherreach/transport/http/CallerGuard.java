package org.heatherreach.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.protocol.http.MessageScanner;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.metric.RequestMeters;

/**
 * Checks a caller's connection ahead of the HTTP decoder: the framing of requests, and whether heads and bodies arrive
 * in time. A message with a violation is never passed on as complete.
 *
 * <p>Confined to the event loop of its channel.
 */
final class CallerGuard extends ChannelDuplexHandler {
    static final String NAME = "heatherreach.callerGuard";
    static final String TRACKER_NAME = "heatherreach.responseTracker";

    // A caller that pipelines more requests without reading responses would only fill memory.
    private static final int MAX_PIPELINED = 32;
    private static final long LINGER_MILLIS = 1000;

    private final Supplier<ProxyLimits> limits;
    private final RequestMeters meters;
    private final Supplier<RequestId> requestIds;
    private final RequestHistory history;
    private final MessageScanner scanner;
    private final BodyReadAhead readAhead;
    private ChannelHandlerContext context;
    private int unansweredRequests;
    private boolean headComplete;
    private boolean discardingInput;
    private boolean closeAfterResponse;
    private boolean lingering;
    private boolean skipLinger;
    private RefusalReason pendingRefusal;
    private ExchangeControl exchange;
    private ScheduledFuture<?> headTimer;
    private ScheduledFuture<?> bodyTimer;
    private ScheduledFuture<?> idleTimer;
    private long idleSinceNanos;
    private boolean readRequested;
    private long bodyProgressNanos;

    CallerGuard(
            Supplier<ProxyLimits> limits,
            RequestMeters meters,
            Supplier<RequestId> requestIds,
            RequestHistory history,
            ReadAheadBudget readAheadBudget) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.meters = Objects.requireNonNull(meters, "meters");
        this.requestIds = Objects.requireNonNull(requestIds, "requestIds");
        this.history = Objects.requireNonNull(history, "history");
        this.scanner = MessageScanner.forRequests(limits.get().headBytes());
        this.readAhead = new BodyReadAhead(readAheadBudget, this::readOn);
    }

    /** Returns the handler that follows the HTTP codec and reports the end of each response. */
    ChannelOutboundHandlerAdapter tracker() {
        return new ResponseTracker();
    }

    /** Sets the exchange of the current request. */
    void setExchange(ExchangeControl current) {
        exchange = current;
    }

    /** Removes an exchange that has ended, unless the next request on the connection has already set its own. */
    void removeExchange(ExchangeControl finished) {
        if (exchange == finished) {
            exchange = null;
        }
    }

    /** Applies a step of the shutdown to the current request, if there is one. */
    void applyToExchange(Consumer<ExchangeControl> step) {
        if (exchange != null) {
            step.accept(exchange);
        }
    }

    /** Closes the connection as soon as no request on it is unanswered; may be called repeatedly. */
    void closeWhenAnswered() {
        if (unansweredRequests > 0 || pendingRefusal != null) {
            closeAfterResponse = true;
        } else {
            lingeringClose();
        }
    }

    /** Closes the connection once the current response is written, and discards further input. */
    void closeAfterResponse() {
        closeAfterResponse = true;
    }

    /** Returns whether the connection closes after the current response, which must then announce it in a header. */
    boolean isClosing() {
        return closeAfterResponse;
    }

    /** Makes the next close take effect immediately, as a reset if {@code SO_LINGER} is 0. */
    void closeWithoutLinger() {
        skipLinger = true;
    }

    /** Resets the connection, so that no client takes a partly relayed response for a complete one. */
    void reset() {
        if (!context.channel().isActive()) {
            return;
        }
        skipLinger = true;
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
    }

    /** Returns the read-ahead of the bodies of this connection. */
    BodyReadAhead readAhead() {
        return readAhead;
    }

    private void readOn() {
        if (context.executor().inEventLoop()) {
            context.read();
        } else {
            context.executor().execute(context::read);
        }
    }

    /** Returns whether the body of the current request has not arrived completely. */
    boolean isBodyOpen() {
        return scanner.state() == MessageScanner.State.BODY;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        startIdlePeriod();
    }

    @Override
    public void read(ChannelHandlerContext ctx) throws Exception {
        if (!readRequested) {
            readRequested = true;
            bodyProgressNanos = System.nanoTime();
        }
        ctx.read();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        readRequested = false;
        ctx.fireChannelReadComplete();
        if (discardingInput || readAhead.readsOn()) {
            ctx.read();
        }
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) throws Exception {
        if (closeAfterResponse && !skipLinger) {
            // The HTTP server closes the channel after the last response, but the caller may still be sending.
            lingeringClose();
            ctx.channel().closeFuture().addListener(future -> promise.trySuccess());
        } else {
            ctx.close(promise);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        cancelTimers();
        ctx.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (!(msg instanceof ByteBuf bytes)) {
            ctx.fireChannelRead(msg);
            return;
        }
        if (discardingInput) {
            bytes.release();
            return;
        }
        readAhead.received(bytes.readableBytes());
        int start = bytes.readerIndex();
        int messageStart = start;
        int index = start;
        int end = bytes.writerIndex();
        while (index < end && scanner.state() != MessageScanner.State.FAILED) {
            if (scanner.state() == MessageScanner.State.ENDED) {
                scanner.reset(false);
                messageStart = index;
            }
            long skippable = scanner.skippable();
            if (skippable > 0) {
                int count = (int) Math.min(skippable, end - index);
                scanner.skip(count);
                index += count;
            } else {
                MessageScanner.State before = scanner.state();
                scanner.accept(bytes.getByte(index));
                index++;
                countCompletedHead(before);
            }
        }
        if (scanner.state() == MessageScanner.State.FAILED) {
            // The violating byte is not passed on, so the decoder never sees the message as complete.
            boolean inHead = isHeadViolation();
            int passedEnd = inHead ? messageStart : index - 1;
            bytes.writerIndex(Math.max(start, passedEnd));
            passOn(ctx, bytes);
            handleFault(inHead, RefusalReason.BAD_REQUEST);
            return;
        }
        passOn(ctx, bytes);
        updateTimers(ctx);
    }

    private void countCompletedHead(MessageScanner.State before) {
        if (before == MessageScanner.State.IDLE || before == MessageScanner.State.ENDED) {
            headComplete = false;
        }
        MessageScanner.State after = scanner.state();
        boolean headEnded =
                !headComplete && (after == MessageScanner.State.BODY || after == MessageScanner.State.ENDED);
        if (headEnded) {
            headComplete = true;
            unansweredRequests++;
        }
    }

    private boolean isHeadViolation() {
        return !headComplete;
    }

    private void passOn(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (unansweredRequests > MAX_PIPELINED) {
            bytes.release();
            discardingInput = true;
            ctx.close();
        } else if (bytes.isReadable()) {
            ctx.fireChannelRead(bytes);
        } else {
            bytes.release();
        }
    }

    private void updateTimers(ChannelHandlerContext ctx) {
        MessageScanner.State state = scanner.state();
        if (state == MessageScanner.State.HEAD) {
            if (headTimer == null) {
                headTimer = ctx.executor()
                        .schedule(
                                () -> handleFault(true, RefusalReason.SLOW_CALLER),
                                limits.get().headTimeoutMillis(),
                                TimeUnit.MILLISECONDS);
            }
        } else if (headTimer != null) {
            headTimer.cancel(false);
            headTimer = null;
        }
        if (state == MessageScanner.State.BODY) {
            bodyProgressNanos = System.nanoTime();
            if (bodyTimer == null) {
                scheduleBodyCheck(TimeUnit.MILLISECONDS.toNanos(limits.get().stallTimeoutMillis()));
            }
        } else if (bodyTimer != null) {
            bodyTimer.cancel(false);
            bodyTimer = null;
        }
    }

    private void scheduleBodyCheck(long delayNanos) {
        bodyTimer = context.executor().schedule(this::checkBody, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void checkBody() {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(limits.get().stallTimeoutMillis());
        long idleNanos = System.nanoTime() - bodyProgressNanos;
        // If no read is pending, this daemon has stopped reading the body, so the caller is not at fault.
        if (readRequested && idleNanos >= limitNanos) {
            bodyTimer = null;
            handleFault(false, RefusalReason.SLOW_CALLER);
        } else {
            scheduleBodyCheck(readRequested ? limitNanos - idleNanos : limitNanos);
        }
    }

    /** Starts the idle period; a timer that is already pending adapts to the new start when it fires. */
    private void startIdlePeriod() {
        idleSinceNanos = System.nanoTime();
        if (idleTimer == null) {
            scheduleIdleCheck(idleLimitNanos());
        }
    }

    private void scheduleIdleCheck(long delayNanos) {
        idleTimer = context.executor().schedule(this::checkIdleness, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void checkIdleness() {
        idleTimer = null;
        if (unansweredRequests > 0 || headTimer != null || discardingInput) {
            // A request is in progress; a new idle period starts when it ends.
            return;
        }
        long remainingNanos = idleSinceNanos + idleLimitNanos() - System.nanoTime();
        if (remainingNanos > 0) {
            scheduleIdleCheck(remainingNanos);
        } else {
            context.close();
        }
    }

    private long idleLimitNanos() {
        return TimeUnit.MILLISECONDS.toNanos(limits.get().idleTimeoutMillis());
    }

    private void handleFault(boolean inHead, RefusalReason reason) {
        if (discardingInput) {
            return;
        }
        discardingInput = true;
        cancelTimers();
        if (inHead) {
            pendingRefusal = reason;
            if (unansweredRequests == 0) {
                writeRefusal();
            }
        } else {
            closeAfterResponse = true;
            if (exchange != null) {
                exchange.handleBodyFault(reason);
            } else {
                context.close();
            }
        }
        context.read();
    }

    private void writeRefusal() {
        meters.countRefusal(pendingRefusal);
        RequestId requestId = requestIds.get();
        history.add(EndedRequest.refusedAtHead(requestId, pendingRefusal.outcome(), pendingRefusal));
        String response = "HTTP/1.1 " + pendingRefusal.statusCode() + " Refused\r\n"
                + CallHeaders.OUTCOME + ": " + pendingRefusal.outcome().label() + "\r\n"
                + CallHeaders.REASON + ": " + pendingRefusal.label() + "\r\n"
                + CallHeaders.REQUEST_ID + ": " + requestId + "\r\n"
                + "Content-Length: 0\r\nConnection: close\r\n\r\n";
        context.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII))
                .addListener(future -> lingeringClose());
    }

    /**
     * Closes the connection after a delay in which input is discarded: a close with unread input would reset the
     * connection, and the caller might lose the response.
     */
    private void lingeringClose() {
        if (lingering) {
            return;
        }
        lingering = true;
        discardingInput = true;
        if (context.channel() instanceof SocketChannel socket && socket.isActive()) {
            socket.shutdownOutput();
            context.read();
            context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            context.close();
        }
    }

    private void responseEnded() {
        unansweredRequests--;
        if (closeAfterResponse) {
            lingeringClose();
        } else if (pendingRefusal != null && unansweredRequests == 0) {
            writeRefusal();
        } else if (unansweredRequests == 0) {
            startIdlePeriod();
        }
    }

    private void cancelTimers() {
        if (headTimer != null) {
            headTimer.cancel(false);
            headTimer = null;
        }
        if (bodyTimer != null) {
            bodyTimer.cancel(false);
            bodyTimer = null;
        }
        if (idleTimer != null) {
            idleTimer.cancel(false);
            idleTimer = null;
        }
    }

    private final class ResponseTracker extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) throws Exception {
            boolean interim = msg instanceof HttpResponse response
                    && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (msg instanceof LastHttpContent && !interim) {
                ctx.write(msg, promise.unvoid()).addListener(future -> responseEnded());
            } else {
                ctx.write(msg, promise);
            }
        }
    }
}
