package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.coordination.rank.RankShares;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;

/**
 * How many requests of each rank each daemon may run, by the demand of all of them.
 *
 * <p>Invariant: the sums are those of the daemons in the ledger. Confined to the thread of its ledger.
 */
final class RankCaps {
    /** Bounds the cost of recomputing the caps of all daemons when ranks become congested. */
    private static final long MIN_CAP_GAP_NANOS = 5_000_000L;

    /** The caps cost time in proportion to the daemons; at 880 daemons they are recomputed each 44 ms at most. */
    private static final long CAP_GAP_NANOS_PER_DAEMON = 50_000L;

    /**
     * The part of a rank's recent load that is kept free for it beyond what it needs now. Other ranks lend the rest of
     * its guarantee; it gets that back as their requests end. Reserving the whole load left 1 to 4 % more of the slots
     * idle in a flood, and reserving none let the 99th percentile of standard grow by 31 % instead of 21 % at certdesk.
     */
    private static final double RESERVED_LOAD = 0.5;

    /** The recent load follows the load of the last ten rebalancings. */
    private static final double LOAD_WEIGHT = 0.1;

    private static final Rank[] RANKS = Rank.values();

    private final Collection<LedgerView> views;
    private final int[] queued = new int[RANKS.length];
    private final int[] running = new int[RANKS.length];
    private final double[] rates = new double[RANKS.length];
    private final double[] loads = new double[RANKS.length];
    private final double[] fractions = new double[RANKS.length];
    private final boolean[] limited = new boolean[RANKS.length];
    private Map<Rank, RankLimits> rankLimits;
    private long lastUpdateNanos;

    /**
     * Creates caps without demand.
     *
     * @param views the daemons of the ledger, as they change
     */
    RankCaps(Collection<LedgerView> views, Map<Rank, RankLimits> rankLimits, long nowNanos) {
        this.views = views;
        this.rankLimits = new EnumMap<>(rankLimits);
        this.lastUpdateNanos = nowNanos - MIN_CAP_GAP_NANOS;
    }

    void changeLimits(Map<Rank, RankLimits> newRankLimits) {
        rankLimits = new EnumMap<>(newRankLimits);
    }

    boolean isLimited(int rank) {
        return limited[rank];
    }

    /** Adds the demand of a daemon to the sums, or takes it away with a sign of -1. */
    void addDemand(LedgerView view, int sign) {
        for (int rank = 0; rank < RANKS.length; rank++) {
            queued[rank] += sign * view.queued[rank];
            running[rank] += sign * view.running[rank];
            rates[rank] += sign * view.rates[rank];
        }
    }

    /** Takes the present demand into the smoothed load of each rank. */
    void noteLoads() {
        for (int rank = 0; rank < RANKS.length; rank++) {
            loads[rank] += LOAD_WEIGHT * (queued[rank] + running[rank] - loads[rank]);
        }
    }

    private RankShares shares(int totalSlots) {
        int[] needed = new int[RANKS.length];
        double[] expected = new double[RANKS.length];
        for (int rank = 0; rank < RANKS.length; rank++) {
            needed[rank] = queued[rank] + running[rank];
            expected[rank] = rates[rank] > SlotLedger.ACTIVE_RATE ? RESERVED_LOAD * loads[rank] : 0;
        }
        return new RankShares(totalSlots, needed, expected, rankLimits);
    }

    /** Updates the caps if a rank came to or left its limit; returns whether it did. */
    boolean updateIfLimitsChange(int totalSlots, long nowNanos) {
        if (nowNanos - lastUpdateNanos < Math.max(MIN_CAP_GAP_NANOS, views.size() * CAP_GAP_NANOS_PER_DAEMON)) {
            return false;
        }
        RankShares shares = shares(totalSlots);
        boolean changed = false;
        for (Rank rank : RANKS) {
            changed |= shares.isLimited(rank) != limited[rank.ordinal()];
        }
        if (changed) {
            update(totalSlots, nowNanos);
        }
        return changed;
    }

    /** Divides the slots that each rank may use among the daemons. */
    void update(int totalSlots, long nowNanos) {
        lastUpdateNanos = nowNanos;
        RankShares shares = shares(totalSlots);
        for (Rank rank : RANKS) {
            int index = rank.ordinal();
            limited[index] = shares.isLimited(rank);
            if (limited[index]) {
                // The fraction is carried over, so that the share holds over time.
                double exact = shares.allowedSlots(rank) + fractions[index];
                fractions[index] = exact - Math.floor(exact);
                apportion(index, (int) exact);
            } else {
                // Held slots bound what a daemon starts before the next report, so each may have the whole headroom.
                int headroom = Math.max(1, (int) (shares.ceilingSlots(rank) - queued[index] - running[index]));
                for (LedgerView view : views) {
                    double share = rates[index] > 0 ? view.rates[index] / rates[index] : 0;
                    int cap = Math.max(view.queued[index] + view.running[index] + headroom, (int)
                            Math.ceil(share * shares.ceilingSlots(rank)));
                    setCap(view, index, cap);
                    view.credits[index] = 0;
                }
            }
        }
    }

    /** Divides the allowed slots of a rank by arrival rates; credits carry fractions over, so that small shares rotate. */
    private void apportion(int rank, int slots) {
        List<LedgerView> candidates = new ArrayList<>();
        double weightSum = 0;
        for (LedgerView view : views) {
            if (view.queued[rank] + view.running[rank] > 0) {
                candidates.add(view);
                weightSum += view.rates[rank] + SlotLedger.ACTIVE_RATE;
            } else {
                setCap(view, rank, 1);
            }
        }
        int left = slots;
        for (LedgerView view : candidates) {
            view.credits[rank] += slots * (view.rates[rank] + SlotLedger.ACTIVE_RATE) / weightSum;
            int whole = Math.max(
                    0, Math.min((int) view.credits[rank], Math.min(left, view.queued[rank] + view.running[rank])));
            view.newCap = whole;
            left -= whole;
        }
        candidates.sort(Comparator.comparingDouble((LedgerView view) -> view.newCap - view.credits[rank]));
        boolean given = true;
        while (left > 0 && given) {
            given = false;
            // A daemon that needs less than its share leaves more than one slot to the others.
            for (LedgerView view : candidates) {
                if (left > 0 && view.newCap < view.queued[rank] + view.running[rank]) {
                    view.newCap++;
                    left--;
                    given = true;
                }
            }
        }
        for (LedgerView view : candidates) {
            view.credits[rank] = Math.max(-2, Math.min(2, view.credits[rank] - view.newCap));
            setCap(view, rank, view.newCap);
        }
    }

    /** A queue of a rank that is not limited must not wait for the next rebalancing. */
    void lift(LedgerView view) {
        for (int rank = 0; rank < RANKS.length; rank++) {
            int needed = view.queued[rank] + view.running[rank];
            if (!limited[rank] && view.queued[rank] > 0 && view.caps[rank] <= needed) {
                setCap(view, rank, needed + 1);
            }
        }
    }

    private static void setCap(LedgerView view, int rank, int cap) {
        if (view.caps[rank] != cap) {
            view.caps[rank] = cap;
            view.capsChanged = true;
        }
    }
}
