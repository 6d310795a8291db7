package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.jboss.logging.Logger;

/**
 * Detects that the VM was suspended: the monotonic clock stops during a suspension, the wall clock does not. A wall
 * clock that was set forward looks the same, so the listener must be harmless in that case.
 *
 * <p>Confined to one thread.
 */
final class SuspensionDetector {
    private static final Logger LOG = Logger.getLogger(SuspensionDetector.class);
    /** Smaller differences can come from corrections by clock synchronisation. */
    private static final long MIN_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final LongSupplier nanoClock;
    private final LongSupplier milliClock;
    private final LongConsumer listener;
    private long lastNanos;
    private long lastMillis;

    /**
     * Creates a detector.
     *
     * @param nanoClock the monotonic clock
     * @param milliClock the wall clock in milliseconds
     * @param listener receives the length of a suspension in nanoseconds
     */
    SuspensionDetector(LongSupplier nanoClock, LongSupplier milliClock, LongConsumer listener) {
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.milliClock = Objects.requireNonNull(milliClock, "milliClock");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.lastNanos = nanoClock.getAsLong();
        this.lastMillis = milliClock.getAsLong();
    }

    /** Compares how far both clocks have advanced since the last call. To be called several times a second. */
    void check() {
        long nowNanos = nanoClock.getAsLong();
        long nowMillis = milliClock.getAsLong();
        long omittedNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis - lastMillis) - (nowNanos - lastNanos);
        lastNanos = nowNanos;
        lastMillis = nowMillis;
        if (omittedNanos >= MIN_SUSPENSION_NANOS) {
            LOG.warnf("state=suspended omitted-ms=%d", TimeUnit.NANOSECONDS.toMillis(omittedNanos));
            listener.accept(omittedNanos);
        }
    }
}
