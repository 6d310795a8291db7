package org.heatherreach.coordination.slot;

import java.util.Objects;

import org.heatherreach.state.rank.Rank;

/**
 * The demand of one rank at one daemon. Immutable and safe for use by any thread.
 *
 * @param rank the rank
 * @param queued the number of queued requests
 * @param running the number of running requests
 * @param arrivalsPerSecond the recent arrival rate
 */
public record RankDemand(Rank rank, int queued, int running, double arrivalsPerSecond) {
    /**
     * Creates a demand.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public RankDemand {
        Objects.requireNonNull(rank, "rank");
        if (queued < 0 || running < 0 || !(arrivalsPerSecond >= 0)) {
            throw new IllegalArgumentException("queued, running and arrivalsPerSecond must not be negative");
        }
    }
}
