package org.heatherreach.state.table;

import java.util.Objects;

import org.heatherreach.state.rank.Rank;

/**
 * The limits of one rank of work at one service, from the rank rows of the table.
 * Immutable and safe for use by any thread. Invariants: the guarantee lies in 0 to 100, the other values are at least 1.
 *
 * @param rank the rank
 * @param weight the share of spare capacity relative to ranks of equal urgency
 * @param guaranteePercent the share of the service's slots that is reserved for the rank while it has work
 * @param queueLimit the number of requests of this rank that one daemon queues per service
 * @param timeoutMillis the deadline of a request that states none, counted from its arrival
 */
public record RankLimits(Rank rank, int weight, int guaranteePercent, int queueLimit, int timeoutMillis) {
    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public RankLimits {
        Objects.requireNonNull(rank, "rank");
        if (guaranteePercent < 0 || guaranteePercent > 100) {
            throw new IllegalArgumentException("guaranteePercent must lie in 0 to 100");
        }
        if (weight < 1 || queueLimit < 1 || timeoutMillis < 1) {
            throw new IllegalArgumentException("weight, queueLimit and timeoutMillis must be at least 1");
        }
    }
}
