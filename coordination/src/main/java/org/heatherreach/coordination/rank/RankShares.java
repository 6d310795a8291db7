package org.heatherreach.coordination.rank;

import java.util.Map;

import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;

/**
 * Divides the slots of a service between ranks: each rank has what it needs or is expected to need reserved up to its
 * guarantee, and the rest goes to the most urgent rank that needs it. Immutable and safe for use by any thread.
 */
public final class RankShares {
    /** Keeps errors of floating-point arithmetic from adding a whole slot. */
    private static final double ROUNDING = 1e-9;

    private static final Rank[] RANKS = Rank.values();

    private final double[] allowed = new double[RANKS.length];
    private final double[] ceiling = new double[RANKS.length];
    private final boolean[] limited = new boolean[RANKS.length];
    private final boolean congested;

    /**
     * Computes the shares. Guarantees that sum to more than all slots are reduced in proportion.
     *
     * @param slots the slots of the service
     * @param needed the running and queued requests by rank
     * @param expected the slots that are kept free for the rank even while it needs fewer, by rank
     * @param rankLimits the guarantees
     */
    public RankShares(int slots, int[] needed, double[] expected, Map<Rank, RankLimits> rankLimits) {
        double[] reserved = new double[RANKS.length];
        double percentSum = 0;
        for (Rank rank : RANKS) {
            percentSum += rankLimits.get(rank).guaranteePercent();
        }
        boolean whole = roundsUp(slots, rankLimits);
        double reservedSum = 0;
        double wanted = 0;
        for (Rank rank : RANKS) {
            int index = rank.ordinal();
            double exact = slots * rankLimits.get(rank).guaranteePercent() / Math.max(100, percentSum);
            // Slots are whole, so a share that is rounded down would be less than its guarantee.
            double guarantee = whole ? Math.ceil(exact - ROUNDING) : exact;
            reserved[index] = Math.min(guarantee, Math.max(needed[index], Math.ceil(expected[index])));
            reservedSum += reserved[index];
            wanted += Math.max(reserved[index], needed[index]);
        }
        congested = wanted > slots;
        double spare = Math.max(0, slots - reservedSum);
        for (Rank rank : RANKS) {
            int index = rank.ordinal();
            ceiling[index] = slots - reservedSum + reserved[index];
            double extra = Math.min(spare, Math.max(0, needed[index] - reserved[index]));
            spare -= extra;
            allowed[index] = reserved[index] + extra;
            limited[index] = congested && needed[index] > allowed[index];
        }
    }

    private static boolean roundsUp(int slots, Map<Rank, RankLimits> rankLimits) {
        double sum = 0;
        for (Rank rank : RANKS) {
            sum += Math.ceil(slots * rankLimits.get(rank).guaranteePercent() / 100.0 - ROUNDING);
        }
        return sum <= slots;
    }

    /** Returns whether the needs and the guarantees can't all be met at once. */
    public boolean isCongested() {
        return congested;
    }

    /** Returns whether the rank needs more than it may use. */
    public boolean isLimited(Rank rank) {
        return limited[rank.ordinal()];
    }

    /** Returns how many slots the rank may use while other ranks need theirs. */
    public double allowedSlots(Rank rank) {
        return allowed[rank.ordinal()];
    }

    /** Returns how many slots the rank may use so that the guarantees of the other ranks can be met at once. */
    public double ceilingSlots(Rank rank) {
        return ceiling[rank.ordinal()];
    }
}
