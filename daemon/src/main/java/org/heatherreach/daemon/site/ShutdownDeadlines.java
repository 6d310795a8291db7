package org.heatherreach.daemon.site;

import java.util.concurrent.TimeUnit;

/**
 * The steps of a graceful shutdown.
 *
 * <p>Invariant: the last dispatch is not after the exit. Immutable and safe for use by any thread.
 *
 * @param addressExpiryNanos when no caller keeps the address of this daemon any longer
 * @param lastDispatchNanos when requests that still wait are refused, because a server could not answer them in time
 * @param exitNanos when the daemon stops waiting for requests in flight
 */
record ShutdownDeadlines(long addressExpiryNanos, long lastDispatchNanos, long exitNanos) {
    /** How long before the end of the grace period the daemon stops waiting for requests in flight. */
    private static final long EXIT_MARGIN_MILLIS = 700;
    /** Time for a server to answer a request that was dispatched last. */
    private static final long LAST_DISPATCH_MARGIN_MILLIS = 1500;
    /** Some callers keep a directory response for up to three times the permitted time. */
    private static final int MAX_KEEP_FACTOR = 3;

    /**
     * Returns the deadlines of a shutdown.
     *
     * @param startNanos when the shutdown began
     * @param graceMillis how long after that the process is killed
     * @param addressKeepMillis how long callers may keep a directory response
     */
    static ShutdownDeadlines of(long startNanos, long graceMillis, long addressKeepMillis) {
        long exitNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, graceMillis - EXIT_MARGIN_MILLIS));
        return new ShutdownDeadlines(
                startNanos + TimeUnit.MILLISECONDS.toNanos(MAX_KEEP_FACTOR * addressKeepMillis),
                exitNanos - TimeUnit.MILLISECONDS.toNanos(LAST_DISPATCH_MARGIN_MILLIS),
                exitNanos);
    }
}
