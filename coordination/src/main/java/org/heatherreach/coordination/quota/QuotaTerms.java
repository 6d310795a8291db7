package org.heatherreach.coordination.quota;

import java.util.concurrent.TimeUnit;

import org.heatherreach.state.workspace.WorkspaceQuota;

/** The times and sizes on which owners and daemons agree. Stateless. */
final class QuotaTerms {
    /** How long credits are valid after the request for them was sent. */
    static final long CREDIT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** How long a daemon waits for a reply before it asks again or falls back. */
    static final long REPLY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** How long a daemon without replies may admit at the rate of its earlier grants. */
    static final long FALLBACK_NANOS = TimeUnit.SECONDS.toNanos(6);
    /**
     * A daemon that has asked for nothing for this time may be using its fallback. One without requests says so before:
     * its last credits expire after 400 ms, and it is idle 400 ms after its last request.
     */
    static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** The time after its last request at which the fallback of a daemon can begin: two lost replies. */
    static final long FALLBACK_DELAY_NANOS = 2 * REPLY_TIMEOUT_NANOS;

    /**
     * Room beyond the burst for credits that daemons hold in advance. Without it a bucket with a burst of 1 holds less
     * than one daemon asks for, and most of the rate is lost. The permitted excess of 20 and of 10 % of 5 s of the rate
     * covers this and the 400 ms for which credits are valid.
     */
    private static final double ADVANCE_CREDITS = 5;

    private static final double ADVANCE_SECONDS = 0.1;

    private QuotaTerms() {}

    /** Returns the most credits that an owner holds for a workspace. */
    static double capacity(WorkspaceQuota quota) {
        return Math.max(1, quota.burstRequests()) + ADVANCE_CREDITS + ADVANCE_SECONDS * quota.requestsPerSecond();
    }

    static double seconds(long nanos) {
        return nanos / 1e9;
    }
}
