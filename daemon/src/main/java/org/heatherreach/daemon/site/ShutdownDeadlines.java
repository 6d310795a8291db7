package org.heatherreach.daemon.site;

import java.util.concurrent.TimeUnit;

/**
 * The steps of a graceful shutdown.
 *
 * <p>Invariant: the last dispatch is not after the exit, and the exit not after the close. Immutable and safe for use by
 * any thread.
 *
 * @param addressExpiryNanos when no caller keeps the address of this daemon any longer
 * @param lastDispatchNanos when requests that still wait are refused, because a server could not answer them in time
 * @param exitNanos when the daemon stops waiting for requests in flight, and answers those that are left
 * @param closeNanos when the connections that callers have not closed are reset
 */
record ShutdownDeadlines(long addressExpiryNanos, long lastDispatchNanos, long exitNanos, long closeNanos) {
    /** How long before the end of the grace period the daemon stops waiting for requests in flight. */
    private static final long EXIT_MARGIN_MILLIS = 700;
    /** Time for the last responses to reach their callers, before the end of the grace period. */
    private static final long CLOSE_MILLIS = 500;
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
                exitNanos,
                exitNanos + TimeUnit.MILLISECONDS.toNanos(CLOSE_MILLIS));
    }

    /** Returns whether callers keep the address no longer, or a new request could not be answered in time. */
    boolean refusesNewRequests(long nowNanos) {
        return addressExpiryNanos - nowNanos <= 0 || refusesWaitingRequests(nowNanos);
    }

    /** Returns whether a request that still waits could not be answered in time. */
    boolean refusesWaitingRequests(long nowNanos) {
        return lastDispatchNanos - nowNanos <= 0;
    }

    /** Returns whether the daemon stops serving now: at the exit, or earlier if nothing is left to do. */
    boolean isOver(long nowNanos, int inFlight) {
        return exitNanos - nowNanos <= 0 || (addressExpiryNanos - nowNanos <= 0 && inFlight == 0);
    }
}
