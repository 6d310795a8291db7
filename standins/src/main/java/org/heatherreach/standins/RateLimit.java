package org.heatherreach.standins;

/** A token bucket that holds one second of its rate. Safe for use by any thread. */
final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int permitsPerSecond;
    private double permits;
    private long refilledNanos;

    RateLimit(int permitsPerSecond, long nowNanos) {
        this.permitsPerSecond = permitsPerSecond;
        permits = permitsPerSecond;
        refilledNanos = nowNanos;
    }

    synchronized boolean take(long nowNanos) {
        permits =
                Math.min(permitsPerSecond, permits + (nowNanos - refilledNanos) / NANOS_PER_SECOND * permitsPerSecond);
        refilledNanos = nowNanos;
        if (permits < 1) {
            return false;
        }
        permits--;
        return true;
    }
}
