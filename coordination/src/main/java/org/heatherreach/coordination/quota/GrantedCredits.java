package org.heatherreach.coordination.quota;

import org.heatherreach.state.workspace.WorkspaceQuota;

/**
 * The credits granted to one daemon in the last 2 s, weighted down exponentially by their age, and the rate that this
 * daemon may use without an owner.
 *
 * <p>Invariant: the owner grants at most {@code rate x time + capacity}, so the weighted credits of all daemons are at
 * most {@code rate x 2 s + capacity}, and the fallback rates of all daemons together are at most the rate.
 *
 * <p>Confined to one thread.
 */
final class GrantedCredits {
    private static final double WINDOW_SECONDS = 2;
    /**
     * A daemon with fewer credits has no fallback. It asks so seldom that the owner can't distinguish whether it has no
     * requests or is cut off, and would withhold credits in vain.
     */
    private static final double MIN_CREDITS = 8;

    private double credits;
    private long updatedNanos;

    void add(int granted, long nowNanos) {
        double ageSeconds = QuotaTerms.seconds(nowNanos - updatedNanos);
        credits = Math.max(0, credits * Math.exp(-ageSeconds / WINDOW_SECONDS) + granted);
        updatedNanos = nowNanos;
    }

    /** Returns the fallback rate as of the last grant, in requests per second. */
    double fallbackPerSecond(WorkspaceQuota quota) {
        return credits < MIN_CREDITS
                ? 0
                : credits / (WINDOW_SECONDS + QuotaTerms.capacity(quota) / quota.requestsPerSecond());
    }
}
