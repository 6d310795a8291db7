package org.heatherreach.transport.http;

import java.util.Objects;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.heatherreach.transport.metric.RequestMeters;
import reactor.core.publisher.Mono;

/**
 * Gives one exchange access to the event loop of the caller's connection and lets it reset the connection.
 *
 * <p>Invariant: a reset is counted once.
 *
 * <p>Thread safety: {@link #onLoop} may be called by any thread, everything else on the event loop.
 */
final class CallerConnection {
    private final Channel channel;
    private final CallerGuard guard;
    private final RequestMeters meters;
    private boolean reset;

    CallerConnection(Channel channel, CallerGuard guard, RequestMeters meters) {
        this.channel = Objects.requireNonNull(channel, "channel");
        this.guard = Objects.requireNonNull(guard, "guard");
        this.meters = Objects.requireNonNull(meters, "meters");
    }

    /** Returns whether this exchange reset the connection. */
    boolean isReset() {
        return reset;
    }

    /**
     * Resets the connection after a failure. The HTTP server may have handled the failure first and closed it already.
     */
    void abort(Throwable error) {
        boolean serverFailed = error instanceof BackendFailure failure && failure.kind() != FailureKind.CANCELLED;
        if (serverFailed && !channel.isActive()) {
            countReset();
        }
        reset();
    }

    /** Resets the connection, so that no client takes a partly relayed response for a complete one. */
    void reset() {
        if (channel.isActive()) {
            countReset();
            guard.closeWithoutLinger();
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Runs an action on the event loop of the connection, immediately if the current thread is that event loop. */
    void onLoop(Runnable action) {
        if (channel.eventLoop().inEventLoop()) {
            action.run();
        } else {
            channel.eventLoop().execute(action);
        }
    }

    /** Returns a Mono that subscribes to the source on the event loop of the connection. */
    <T> Mono<T> onLoop(Mono<T> source) {
        return Mono.defer(() -> {
            if (channel.eventLoop().inEventLoop()) {
                return source;
            }
            return Mono.<Boolean>create(sink -> channel.eventLoop().execute(() -> sink.success(true)))
                    .flatMap(signal -> source);
        });
    }

    private void countReset() {
        if (!reset) {
            reset = true;
            meters.countCallerReset();
        }
    }
}
