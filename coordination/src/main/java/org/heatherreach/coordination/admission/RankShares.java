package org.heatherreach.coordination.admission;

import java.util.Map;

import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;

/**
 * Divides the slots of a service among ranks. The slots that a rank needs or is expected to need are reserved for it,
 * up to its guarantee. The remaining slots go to the most urgent ranks that need them. Immutable and safe for use by
 * any thread.
 */
public final class RankShares {
    /** Subtracted before rounding up, so that a floating-point error does not add a whole slot. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private static final Rank[] RANKS = Rank.values();

    private final double[] allowed = new double[RANKS.length];
    private final double[] ceiling = new double[RANKS.length];
    private final boolean[] limited = new boolean[RANKS.length];
    private final boolean congested;

    /**
     * Computes the shares. Guarantees with a sum of more than 100 % are reduced in proportion.
     *
     * @param slots the slots of the service
     * @param needed the number of running and queued requests, by rank
     * @param expected the slots to reserve within the guarantee even while the rank needs fewer, by rank
     * @param rankLimits the guarantees of the ranks
     */
    public RankShares(int slots, int[] needed, double[] expected, Map<Rank, RankLimits> rankLimits) {
        double[] reserved = new double[RANKS.length];
        double percentSum = 0;
        for (Rank rank : RANKS) {
            percentSum += rankLimits.get(rank).guaranteePercent();
        }
        boolean roundUp = fitsRoundedUp(slots, rankLimits);
        double reservedSum = 0;
        double totalWanted = 0;
        for (Rank rank : RANKS) {
            int index = rank.ordinal();
            double exactGuarantee = slots * rankLimits.get(rank).guaranteePercent() / Math.max(100, percentSum);
            // Requests use whole slots, so a share that is rounded down would be less than its guarantee.
            double guarantee = roundUp ? Math.ceil(exactGuarantee - ROUNDING_TOLERANCE) : exactGuarantee;
            reserved[index] = Math.min(guarantee, Math.max(needed[index], Math.ceil(expected[index])));
            reservedSum += reserved[index];
            totalWanted += Math.max(reserved[index], needed[index]);
        }
        congested = totalWanted > slots;
        double unreserved = Math.max(0, slots - reservedSum);
        for (Rank rank : RANKS) {
            int index = rank.ordinal();
            ceiling[index] = slots - reservedSum + reserved[index];
            double extra = Math.min(unreserved, Math.max(0, needed[index] - reserved[index]));
            unreserved -= extra;
            allowed[index] = reserved[index] + extra;
            limited[index] = congested && needed[index] > allowed[index];
        }
    }

    /** Returns whether the slots suffice for all guarantees when each is rounded up to whole slots. */
    private static boolean fitsRoundedUp(int slots, Map<Rank, RankLimits> rankLimits) {
        double roundedSum = 0;
        for (Rank rank : RANKS) {
            roundedSum += Math.ceil(slots * rankLimits.get(rank).guaranteePercent() / 100.0 - ROUNDING_TOLERANCE);
        }
        return roundedSum <= slots;
    }

    /** Returns whether the ranks together need or reserve more slots than the service has. */
    public boolean isCongested() {
        return congested;
    }

    /** Returns whether the rank needs more than it may use. */
    public boolean isLimited(Rank rank) {
        return limited[rank.ordinal()];
    }

    /** Returns how many slots the rank may use while the other ranks need their shares. */
    public double allowedSlots(Rank rank) {
        return allowed[rank.ordinal()];
    }

    /** Returns how many slots the rank may use so that the reservations of the other ranks can be met at once. */
    public double ceilingSlots(Rank rank) {
        return ceiling[rank.ordinal()];
    }
}
