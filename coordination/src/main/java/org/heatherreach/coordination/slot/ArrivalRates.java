package org.heatherreach.coordination.slot;

import org.heatherreach.state.rank.Rank;

/** Arrival rates by rank, as exponentially decaying averages. Confined to one thread. */
final class ArrivalRates {
    private static final double DECAY_TIME_CONSTANT_NANOS = 5e9;

    /** A rank has recent arrivals while its rate is above this value; a single arrival counts as recent for 15 s. */
    private static final double MIN_RECENT_RATE_PER_SECOND = 0.01;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double[] perSecond = new double[Rank.values().length];
    private long updatedNanos;

    ArrivalRates(long nowNanos) {
        updatedNanos = nowNanos;
    }

    void recordArrival(Rank rank, long nowNanos) {
        decay(nowNanos);
        perSecond[rank.ordinal()] += NANOS_PER_SECOND / DECAY_TIME_CONSTANT_NANOS;
    }

    /** Decays the rates to the given time; an earlier time has no effect. */
    void decay(long nowNanos) {
        long elapsedNanos = nowNanos - updatedNanos;
        if (elapsedNanos > 0) {
            double factor = Math.exp(-elapsedNanos / DECAY_TIME_CONSTANT_NANOS);
            for (int i = 0; i < perSecond.length; i++) {
                perSecond[i] *= factor;
            }
            updatedNanos = nowNanos;
        }
    }

    double ratePerSecond(Rank rank) {
        return perSecond[rank.ordinal()];
    }

    /** Returns whether a rank has recent arrivals. */
    boolean hasRecentArrivals(Rank rank) {
        return ratePerSecond(rank) > MIN_RECENT_RATE_PER_SECOND;
    }

    /** Returns whether the sum of the rates of all ranks shows recent arrivals. */
    boolean hasAnyRecentArrivals() {
        double sum = 0;
        for (double rate : perSecond) {
            sum += rate;
        }
        return sum > MIN_RECENT_RATE_PER_SECOND;
    }
}
