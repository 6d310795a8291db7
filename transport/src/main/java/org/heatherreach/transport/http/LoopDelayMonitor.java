package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.heatherreach.transport.metric.RequestMeters;
import org.jboss.logging.Logger;

/**
 * Measures by how much an event loop runs late. A loop that is busy with one connection delays every other connection
 * and all timers, which no other log line or meter shows.
 *
 * <p>Invariant: at most one check is scheduled at a time. Confined to the event loop after {@link #start}.
 */
final class LoopDelayMonitor {
    private static final Logger LOG = Logger.getLogger(LoopDelayMonitor.class);
    private static final long CHECK_INTERVAL_MILLIS = 500;
    private static final long LOGGED_DELAY_MILLIS = 250;

    private final EventLoop loop;
    private final RequestMeters meters;
    private long expectedNanos;

    LoopDelayMonitor(EventLoop loop, RequestMeters meters) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.meters = Objects.requireNonNull(meters, "meters");
    }

    /** Starts the checks, which end with the event loop. */
    void start() {
        loop.execute(this::scheduleCheck);
    }

    private void scheduleCheck() {
        if (loop.isShuttingDown()) {
            return;
        }
        expectedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MILLIS);
        loop.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long delayNanos = Math.max(0, System.nanoTime() - expectedNanos);
        meters.recordLoopDelay(delayNanos);
        long delayMillis = TimeUnit.NANOSECONDS.toMillis(delayNanos);
        if (delayMillis >= LOGGED_DELAY_MILLIS) {
            LOG.warnf("event-loop=http state=late delay-ms=%d", delayMillis);
        }
        scheduleCheck();
    }
}
