package org.heatherreach.standins;

import java.net.SocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntToLongFunction;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;

/**
 * One direction of a relayed connection. It reads one buffer, waits for the delay, writes it, then reads on. While the
 * direction is cut it neither writes nor reads, so the sender sees backpressure. Once it is silent it reads and discards
 * everything, so neither side sees that the other gets nothing. Confined to the event loop of its channels, except that
 * {@link #resume}, {@link #reset}, {@link #endOutput}, {@link #silence}, {@link #isSilent} and
 * {@link #targetSideAddress} may be called by any thread.
 */
final class LinkPump extends ChannelInboundHandlerAdapter {
    private final boolean forward;
    private final BooleanSupplier cut;
    private final IntToLongFunction delayNanos;
    private final Set<LinkPump> registry;
    private SocketChannel source;
    private SocketChannel sink;
    private ByteBuf waiting;
    private boolean ended;
    private boolean scheduled;
    private boolean reading;
    private volatile boolean silent;
    private long bytesUntilSilent;

    /**
     * Creates a pump, which is idle until it is connected.
     *
     * @param forward whether bytes pass from the connecting to the accepting side
     * @param cut whether no byte passes at present
     * @param delayNanos the delay of a buffer of the given number of bytes
     * @param registry where the pump is listed while it is connected
     */
    LinkPump(boolean forward, BooleanSupplier cut, IntToLongFunction delayNanos, Set<LinkPump> registry) {
        this.forward = forward;
        this.cut = cut;
        this.delayNanos = delayNanos;
        this.registry = registry;
    }

    void connect(SocketChannel from, SocketChannel to) {
        source = from;
        sink = to;
        registry.add(this);
    }

    boolean isForward() {
        return forward;
    }

    void resume() {
        source.eventLoop().execute(this::advance);
    }

    void reset() {
        source.eventLoop().execute(() -> abort(source));
    }

    boolean isSilent() {
        return silent;
    }

    /** Returns the address from which the relay has connected to the target. */
    SocketAddress targetSideAddress() {
        return (forward ? sink : source).localAddress();
    }

    /** Discards everything for good after so many more bytes; in force when this method returns. */
    void silence(long passedBytes) {
        source.eventLoop()
                .submit(() -> {
                    silent = true;
                    bytesUntilSilent = passedBytes;
                })
                .syncUninterruptibly();
    }

    void endOutput() {
        sink.eventLoop().execute(() -> sink.shutdownOutput());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reading = false;
        ByteBuf received = (ByteBuf) message;
        ByteBuf passed = silent ? takePassedBytes(received) : received;
        if (!passed.isReadable()) {
            passed.release();
            read();
            return;
        }
        waiting = passed;
        schedule();
    }

    private ByteBuf takePassedBytes(ByteBuf received) {
        int passedBytes = (int) Math.min(bytesUntilSilent, received.readableBytes());
        bytesUntilSilent -= passedBytes;
        ByteBuf passed = received.readRetainedSlice(passedBytes);
        received.release();
        return passed;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            ended = true;
            if (!silent) {
                schedule();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        registry.remove(this);
        if (waiting != null) {
            waiting.release();
            waiting = null;
        }
        if (sink.isOutputShutdown()) {
            sink.close();
        } else {
            abort(sink);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset();
    }

    /** Closes a channel so that its peer sees a reset. */
    static void abort(SocketChannel channel) {
        if (channel.isActive()) {
            channel.config().setSoLinger(0);
        }
        channel.close();
    }

    private void schedule() {
        scheduled = true;
        source.eventLoop()
                .schedule(
                        () -> {
                            scheduled = false;
                            advance();
                        },
                        delayNanos.applyAsLong(waiting == null ? 0 : waiting.readableBytes()),
                        TimeUnit.NANOSECONDS);
    }

    private void advance() {
        if (scheduled || cut.getAsBoolean() || !source.isActive()) {
            return;
        }
        if (waiting != null) {
            ByteBuf buffer = waiting;
            waiting = null;
            sink.writeAndFlush(buffer).addListener(future -> {
                if (future.isSuccess()) {
                    read();
                } else {
                    reset();
                }
            });
        } else if (ended && !silent) {
            sink.shutdownOutput();
            boolean bothDirectionsEnded = source.isOutputShutdown();
            if (bothDirectionsEnded) {
                source.close();
            }
        } else {
            read();
        }
    }

    private void read() {
        if (!reading && waiting == null && !ended && !cut.getAsBoolean()) {
            reading = true;
            source.read();
        }
    }
}
