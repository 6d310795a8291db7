package org.heatherreach.coordination.balance;

import java.util.Objects;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.admission.RetrySpread;

/**
 * How a pool chooses servers and orders requests, from the settings. Immutable and safe for use by any thread.
 *
 * @param measure what the load of a server is measured by
 * @param errorRateZoneSize the number of daemons in its zone from which on a daemon chooses servers by their error rates;
 *     0 for never
 * @param fairShare whether each class and workspace gets a part of the share of requests that the others get, and
 *     refused requests return by their urgency
 */
public record PoolPolicy(LoadMeasure measure, int errorRateZoneSize, boolean fairShare) {
    /** The policy that applies if the settings specify none. */
    public static final PoolPolicy DEFAULT = new PoolPolicy(LoadMeasure.REQUESTS, 0, false);

    /**
     * The cost of a server that turns every most urgent request away, in shares of a full server. Less urgent requests
     * avoid such servers less, so that they leave the others to the urgent ones.
     */
    private static final double SHEDDING_COST = 3;

    public PoolPolicy {
        Objects.requireNonNull(measure, "measure");
        if (errorRateZoneSize < 0) {
            throw new IllegalArgumentException("errorRateZoneSize is negative: " + errorRateZoneSize);
        }
    }

    /** Returns the default policy with another measure of loads. */
    public static PoolPolicy of(LoadMeasure measure) {
        return new PoolPolicy(measure, DEFAULT.errorRateZoneSize(), DEFAULT.fairShare());
    }

    /** Returns whether loads are measured by the expected work. */
    public boolean measuresWork() {
        return measure == LoadMeasure.EXPECTED_WORK;
    }

    /**
     * Returns how failures count.
     *
     * @param zoneDaemons the number of daemons in the zone
     */
    FailureMeasure failureMeasure(int zoneDaemons) {
        return errorRateZoneSize > 0 && Math.max(1, zoneDaemons) >= errorRateZoneSize
                ? FailureMeasure.ERROR_RATE
                : FailureMeasure.RECENT_FAILURES;
    }

    /** Returns the cost of a server's load for the request, in shares of a full server. */
    double loadCost(ServerLoad load, PoolRequest request, long nowNanos) {
        double loadCost = measure.loadCost(load, request, nowNanos);
        if (!fairShare || measuresWork()) {
            return loadCost;
        }
        return loadCost + SHEDDING_COST * load.sheddingProbability(nowNanos) / (1 + request.priority());
    }

    /** Returns whether the daemons tell each other which servers turn requests away although they have room. */
    public boolean reportsRejections() {
        return measuresWork() || fairShare;
    }

    /** Creates the rule of one pool for the order of the waiting requests. */
    ShareRule createShareRule(RandomGenerator random) {
        return fairShare ? new FairShares(random.nextLong()) : ShareRule.BY_DEADLINE;
    }

    RetrySpread retrySpread() {
        return fairShare ? RetrySpread.BY_URGENCY : RetrySpread.OVER_WAIT;
    }
}
