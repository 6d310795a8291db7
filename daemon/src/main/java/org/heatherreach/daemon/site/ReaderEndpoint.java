package org.heatherreach.daemon.site;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import org.heatherreach.coordination.watch.ReaderPlan;
import org.heatherreach.protocol.peer.wire.ReaderResponse;
import org.heatherreach.state.store.StoreRevision;

/**
 * Serves the keys of the store to the followers of a reader. A poll is answered at once when there are changes, when the
 * store has confirmed the revision again, or when it fails, and otherwise at the end of its wait.
 *
 * <p>Invariants: a connection has one waiting poll at most; the responses of a burst are bounded in bytes, because they
 * share the link of a small VM: a follower that is turned away reads the store itself, as it would without readers.
 *
 * <p>Confined to the event loop, apart from {@link #cache}.
 */
final class ReaderEndpoint {
    /**
     * Bounds the memory of waiting polls. A reader of a zone of 43 daemons has 20 to 41 followers; a follower that is
     * turned away reads the store.
     */
    static final int MAX_WAITING = 512;
    /** The bytes of a burst take 0.2 s at the 10 Mbit/s of a small VM, and the rate is two fifths of such a link. */
    private static final double BURST_BYTES = 256 * 1024;

    private static final double BYTES_PER_SECOND = 512 * 1024;

    private final ReaderCache cache;
    private final EventLoop loop;
    private final MeterRegistry meters;
    private final LongSupplier nanoClock;
    private final Map<Channel, Waiting> waiting = new HashMap<>();
    private double budgetBytes = BURST_BYTES;
    private long budgetNanos;

    /**
     * A poll that waits.
     *
     * @param after what the follower has read
     * @param confirmationNanos the last confirmation by the store when the poll arrived; a later one answers the poll
     * @param timer answers the poll at the end of its wait
     */
    private record Waiting(StoreRevision after, long arrivalNanos, long confirmationNanos, Future<?> timer) {}

    /**
     * Creates an endpoint.
     *
     * @param loop the event loop of the connections
     * @param meters counts the responses
     * @param nanoClock the monotonic clock
     */
    ReaderEndpoint(EventLoop loop, MeterRegistry meters, LongSupplier nanoClock) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.meters = Objects.requireNonNull(meters, "meters");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.cache = new ReaderCache(nanoClock, () -> loop.execute(this::answerWaiting));
        this.budgetNanos = nanoClock.getAsLong();
    }

    /** Returns the cache that receives what this daemon reads from the store. */
    ReaderCache cache() {
        return cache;
    }

    /** Handles a request whose target is one of {@link ReaderPaths}. */
    void handle(Channel channel, HttpRequest request) {
        if (!request.method().equals(HttpMethod.GET)) {
            refuse(channel, HttpResponseStatus.METHOD_NOT_ALLOWED);
        } else if (request.uri().equals(ReaderPaths.KEYS)) {
            answer(channel, cache.allKeys(budget()), nanoClock.getAsLong(), "keys");
        } else {
            Option<ReaderPaths.Poll> poll = ReaderPaths.readPoll(request.uri());
            if (poll.isEmpty() || waiting.containsKey(channel)) {
                refuse(channel, HttpResponseStatus.BAD_REQUEST);
            } else {
                handlePoll(channel, poll.get());
            }
        }
    }

    /** Handles the end of a connection. */
    void closed(Channel channel) {
        Waiting ended = waiting.remove(channel);
        if (ended != null) {
            ended.timer().cancel(false);
        }
    }

    private void handlePoll(Channel channel, ReaderPaths.Poll poll) {
        long nowNanos = nanoClock.getAsLong();
        if (poll.waitMillis() <= 0 || cache.hasNews(poll.after())) {
            answer(channel, cache.changesAfter(poll.after(), budget()), nowNanos, "changes");
            return;
        }
        if (waiting.size() >= MAX_WAITING) {
            // After a response without changes the follower would poll again at once.
            refuse(channel, HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        long waitMillis = Math.min(poll.waitMillis(), ReaderPlan.POLL_WAIT_MILLIS);
        Future<?> timer = loop.schedule(() -> answerWaiting(channel), waitMillis, TimeUnit.MILLISECONDS);
        waiting.put(channel, new Waiting(poll.after(), nowNanos, cache.confirmationNanos(), timer));
    }

    private void answerWaiting() {
        long confirmationNanos = cache.confirmationNanos();
        Iterator<Map.Entry<Channel, Waiting>> entries = waiting.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Channel, Waiting> entry = entries.next();
            Waiting poll = entry.getValue();
            if (poll.confirmationNanos() != confirmationNanos || cache.hasNews(poll.after())) {
                entries.remove();
                poll.timer().cancel(false);
                answer(entry.getKey(), cache.changesAfter(poll.after(), budget()), poll.arrivalNanos(), "changes");
            }
        }
    }

    private void answerWaiting(Channel channel) {
        Waiting poll = waiting.remove(channel);
        if (poll != null) {
            answer(channel, cache.changesAfter(poll.after(), budget()), poll.arrivalNanos(), "changes");
        }
    }

    private void answer(Channel channel, Option<ReaderResponse.Builder> response, long arrivalNanos, String kind) {
        if (response.isEmpty()) {
            refuse(channel, HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        long waitedNanos = nanoClock.getAsLong() - arrivalNanos;
        byte[] body = response.get()
                .setWaitedMs((int) TimeUnit.NANOSECONDS.toMillis(waitedNanos))
                .build()
                .toByteArray();
        if (!takeBudget(body.length)) {
            refuse(channel, HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        meters.counter("heatherreach.reader.served", "kind", kind).increment();
        write(channel, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
    }

    private void refuse(Channel channel, HttpResponseStatus status) {
        meters.counter("heatherreach.reader.served", "kind", "refused").increment();
        write(channel, status, Unpooled.EMPTY_BUFFER);
    }

    private static void write(Channel channel, HttpResponseStatus status, ByteBuf body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_OCTET_STREAM);
        channel.writeAndFlush(response);
    }

    /** Returns how many bytes may be sent now, from a token bucket that all followers share. */
    private long budget() {
        long nowNanos = nanoClock.getAsLong();
        double refilled = (nowNanos - budgetNanos) * BYTES_PER_SECOND / TimeUnit.SECONDS.toNanos(1);
        budgetBytes = Math.min(BURST_BYTES, budgetBytes + refilled);
        budgetNanos = nowNanos;
        return (long) budgetBytes;
    }

    private boolean takeBudget(int bytes) {
        if (bytes > budget()) {
            return false;
        }
        budgetBytes -= bytes;
        return true;
    }
}
