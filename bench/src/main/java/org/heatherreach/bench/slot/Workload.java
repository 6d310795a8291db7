package org.heatherreach.bench.slot;

import org.heatherreach.state.rank.Rank;

/**
 * What callers send in one trial. Immutable.
 *
 * @param name the name of the scenario
 * @param baseFactor multiplies the base load of every rank
 * @param floodRank the rank that floods from the start of the measured window; null for none
 * @param burstFactor requests of the standard rank that arrive together every 2 s, relative to all slots
 * @param outage whether 60 in 100 servers are out of use for 3 s
 * @param retries how often a caller repeats a refused request
 */
record Workload(String name, double baseFactor, Rank floodRank, int burstFactor, boolean outage, int retries) {
    /** Offered load of a flood relative to the capacity of the service. */
    static final double FLOOD_FACTOR = 10;

    static final Workload CALM = new Workload("calm", 1, null, 0, false, 0);
    static final Workload BULK_FLOOD = new Workload("flood-bulk", 1, Rank.BULK, 0, false, 0);
    static final Workload URGENT_FLOOD = new Workload("flood-urgent", 1, Rank.URGENT, 0, false, 0);
    static final Workload SYNCHRONIZED = new Workload("synchronized", 1, null, 3, false, 20);
    static final Workload RETRY_STORM = new Workload("retry-storm", 1.5, null, 0, true, 20);

    /** Base load of a rank as a share of all slots; each is below the guarantee of the rank. */
    static double baseShare(Rank rank) {
        return switch (rank) {
            case URGENT -> 0.25;
            case STANDARD -> 0.15;
            case BULK -> 0.10;
        };
    }

    /** Median of the log-normal service time. */
    static double medianServiceNanos(Rank rank) {
        return rank == Rank.BULK ? 30e6 : 15e6;
    }

    /** Shape of the service time: its 99th percentile is 6.4 times the median. */
    static final double SERVICE_SIGMA = 0.8;

    static double meanServiceNanos(Rank rank) {
        return medianServiceNanos(rank) * Math.exp(SERVICE_SIGMA * SERVICE_SIGMA / 2);
    }
}
