package org.heatherreach.transport.kv;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The time by which the next part of a response has to arrive. Each part moves it by the time that its bytes take at the
 * least rate, so a large response may take long, but its sender can't delay a call without end.
 *
 * <p>Confined to one call, whose parts arrive one after the other.
 */
public final class ResponseDeadline {
    private static final long MIN_BYTES_PER_SECOND = 16L << 10;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private long deadlineNanos;

    /**
     * Creates the deadline of a response.
     *
     * @param firstPartNanos when the first part arrived, by {@link System#nanoTime}
     * @param maxLag how far the response may fall behind the least rate
     */
    public ResponseDeadline(long firstPartNanos, Duration maxLag) {
        deadlineNanos = firstPartNanos + maxLag.toNanos();
    }

    /** Moves the deadline for a part; returns false if the part arrives too late. */
    public boolean accept(int partBytes, long nowNanos) {
        if (nowNanos - deadlineNanos > 0) {
            return false;
        }
        deadlineNanos += partBytes * NANOS_PER_SECOND / MIN_BYTES_PER_SECOND;
        return true;
    }
}
