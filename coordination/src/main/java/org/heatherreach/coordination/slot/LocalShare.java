package org.heatherreach.coordination.slot;

import java.util.Map;
import java.util.Objects;

import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;

/**
 * The slots that a pool may use while no owner answers: the usable slots divided by the number of live daemons. Stride
 * scheduling divides them among the ranks by their guarantees.
 *
 * <p>Invariants: the share has at least one slot; a rank may use at least one slot of it; the position of a rank in the
 * schedule only advances. Confined to the thread of its pool.
 */
final class LocalShare {
    private static final Rank[] RANKS = Rank.values();

    private final LeasedServers servers;
    private final ArrivalRates arrivalRates;
    private final RunningCounts running;

    /** Positions of the ranks in the stride scheduling; the rank with the lowest one is next. */
    private final double[] passes = new double[RANKS.length];

    private Map<Rank, RankLimits> rankLimits;
    private int liveDaemons = 1;

    LocalShare(
            LeasedServers servers, ArrivalRates arrivalRates, RunningCounts running, Map<Rank, RankLimits> rankLimits) {
        this.servers = Objects.requireNonNull(servers, "servers");
        this.arrivalRates = Objects.requireNonNull(arrivalRates, "arrivalRates");
        this.running = Objects.requireNonNull(running, "running");
        this.rankLimits = Objects.requireNonNull(rankLimits, "rankLimits");
    }

    void setRankLimits(Map<Rank, RankLimits> newRankLimits) {
        rankLimits = Objects.requireNonNull(newRankLimits, "newRankLimits");
    }

    /** Sets the number of live daemons that share the slots; a smaller number than one counts as one. */
    void setLiveDaemons(int count) {
        liveDaemons = Math.max(1, count);
    }

    boolean mayRun(Rank rank) {
        int share = slots();
        return running.total() < share && running.of(rank) < slotsOf(rank, share);
    }

    boolean hasFreeSlot() {
        return running.total() < slots();
    }

    /** Returns the part of the share that a rank may use. */
    int slotsOf(Rank rank) {
        return slotsOf(rank, slots());
    }

    /** Returns whether a rank is served before another one because it is further below its guarantee. */
    boolean isBehind(Rank rank, Rank other) {
        return passes[rank.ordinal()] < passes[other.ordinal()];
    }

    /** Advances the position of a rank after the dispatch of a queued request. */
    void recordDispatch(Rank rank) {
        double highest = 0;
        for (double pass : passes) {
            highest = Math.max(highest, pass);
        }
        double stride = 100.0 / Math.max(1, rankLimits.get(rank).guaranteePercent());
        // Limits the lag, so that a rank without requests does not accumulate a claim to slots.
        passes[rank.ordinal()] = Math.max(passes[rank.ordinal()], highest - 2 * stride) + stride;
    }

    private int slots() {
        return Math.max(1, servers.usableSlots() / liveDaemons);
    }

    /**
     * Returns the part of the share that the guarantees of other ranks with recent arrivals leave, at least one slot.
     */
    private int slotsOf(Rank rank, int share) {
        int reservedPercent = 0;
        for (Rank other : RANKS) {
            if (other != rank && arrivalRates.hasRecentArrivals(other)) {
                reservedPercent += rankLimits.get(other).guaranteePercent();
            }
        }
        return Math.max(1, share * Math.max(0, 100 - reservedPercent) / 100);
    }
}
