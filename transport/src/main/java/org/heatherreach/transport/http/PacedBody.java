package org.heatherreach.transport.http;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Operators;
import reactor.util.context.Context;

/**
 * A body whose next parts are requested only while the channel that it is written to takes more bytes. Without it the HTTP
 * client and server request 128 parts in advance, up to 2 MiB for a peer that has stopped reading.
 *
 * <p>Invariant: at most {@value #MAX_OUTSTANDING} parts are requested at a time, and only while the channel is writable.
 *
 * <p>Demand may come from any thread; it is processed on the event loop of the channel.
 */
final class PacedBody extends Flux<ByteBuf> {
    /** One part at a time would cost a turn of the event loop for each. */
    private static final int MAX_OUTSTANDING = 4;

    private final Flux<ByteBuf> source;
    private final Channel channel;

    /** Creates a body that is read from the source at the pace of the channel. */
    PacedBody(Flux<ByteBuf> source, Channel channel) {
        this.source = Objects.requireNonNull(source, "source");
        this.channel = Objects.requireNonNull(channel, "channel");
    }

    @Override
    public void subscribe(CoreSubscriber<? super ByteBuf> actual) {
        source.subscribe(new Pacer(actual, channel));
    }

    /** Passes on demand. The demand and the number of outstanding parts are confined to the event loop of the channel. */
    private static final class Pacer extends ChannelInboundHandlerAdapter
            implements CoreSubscriber<ByteBuf>, Subscription {
        private final CoreSubscriber<? super ByteBuf> actual;
        private final Channel channel;
        private volatile boolean ended;
        private Subscription upstream;
        private long demand;
        private int outstanding;

        Pacer(CoreSubscriber<? super ByteBuf> actual, Channel channel) {
            this.actual = actual;
            this.channel = channel;
        }

        @Override
        public Context currentContext() {
            return actual.currentContext();
        }

        @Override
        public void onSubscribe(Subscription subscription) {
            upstream = subscription;
            channel.eventLoop().execute(() -> {
                if (!ended) {
                    channel.pipeline().addLast(this);
                }
            });
            actual.onSubscribe(this);
        }

        @Override
        public void onNext(ByteBuf part) {
            actual.onNext(part);
            // Runs after the task that writes the part, so that the part counts for the writability.
            channel.eventLoop().execute(() -> {
                outstanding--;
                requestNext();
            });
        }

        @Override
        public void onError(Throwable error) {
            end();
            actual.onError(error);
        }

        @Override
        public void onComplete() {
            end();
            actual.onComplete();
        }

        @Override
        public void request(long count) {
            if (Operators.validate(count)) {
                channel.eventLoop().execute(() -> {
                    demand = Operators.addCap(demand, count);
                    requestNext();
                });
            }
        }

        @Override
        public void cancel() {
            end();
            upstream.cancel();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
            requestNext();
            ctx.fireChannelWritabilityChanged();
        }

        private void requestNext() {
            // A closed channel is never writable again, but fails the next write and thereby ends the exchange.
            while (!ended
                    && outstanding < MAX_OUTSTANDING
                    && demand > 0
                    && (channel.isWritable() || !channel.isActive())) {
                outstanding++;
                demand--;
                upstream.request(1);
            }
        }

        private void end() {
            if (ended) {
                return;
            }
            ended = true;
            channel.eventLoop().execute(() -> {
                if (channel.pipeline().context(this) != null) {
                    channel.pipeline().remove(this);
                }
            });
        }
    }
}
