package org.heatherreach.standins;

import java.util.concurrent.TimeUnit;

/**
 * The schedule of the bytes that share a link of limited rate, in the order of their arrival. Safe for use by any thread.
 */
final class LinkRate {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private long freeNanos;

    /** Creates the schedule of a link that is free from the given time on. */
    LinkRate(long nowNanos) {
        freeNanos = nowNanos;
    }

    /**
     * Schedules bytes behind those that were scheduled before.
     *
     * @param bytes how many bytes pass
     * @param bytesPerSecond the rate of the link; 0 for no limit
     * @param nowNanos the time on the monotonic clock
     * @return the delay in nanoseconds after which the last byte has passed
     */
    synchronized long schedule(int bytes, int bytesPerSecond, long nowNanos) {
        if (bytesPerSecond == 0) {
            return 0;
        }
        long startNanos = freeNanos - nowNanos > 0 ? freeNanos : nowNanos;
        freeNanos = startNanos + bytes * NANOS_PER_SECOND / bytesPerSecond;
        return freeNanos - nowNanos;
    }
}
