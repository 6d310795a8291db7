package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.coordination.admission.RankShares;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;

/**
 * Computes how many requests of each rank each daemon may run, from the demand of all daemons.
 *
 * <p>Invariant: the sums of the demand cover exactly the daemons in the ledger. Confined to the thread of its ledger.
 */
final class RankCaps {
    /**
     * An update that is due because other ranks are limited than before comes at least this long after the previous
     * update of any kind. This bounds the cost of recomputing the caps of all daemons.
     */
    private static final long MIN_UPDATE_GAP_NANOS = 5_000_000L;

    /**
     * The cost of an update grows with the number of daemons; with 880 daemons there is at most one such update in
     * 44 ms.
     */
    private static final long UPDATE_GAP_NANOS_PER_DAEMON = 50_000L;

    /**
     * The fraction of a rank's smoothed load that stays reserved for the rank even while it needs fewer slots. Other
     * ranks may borrow the rest of its guarantee, which returns to the rank as their requests end. Reserving the whole
     * load leaves 1 to 4 % more of the slots idle in a flood. Reserving none lets the 99th percentile latency of the
     * standard rank grow by 31 % instead of 21 % in a flood of urgent requests at the site certdesk.
     */
    private static final double RESERVED_LOAD_FRACTION = 0.5;

    /** Weight of the newest sample in the smoothed load, which thus averages about the last ten rebalancings. */
    private static final double LOAD_SMOOTHING = 0.1;

    private static final Rank[] RANKS = Rank.values();

    private final Collection<LedgerDaemon> daemons;
    private final int[] queued = new int[RANKS.length];
    private final int[] running = new int[RANKS.length];
    private final double[] arrivalsPerSecond = new double[RANKS.length];
    private final double[] smoothedLoads = new double[RANKS.length];
    private final double[] carriedFractions = new double[RANKS.length];
    private final boolean[] limited = new boolean[RANKS.length];
    private Map<Rank, RankLimits> rankLimits;
    private long lastUpdateNanos;

    /**
     * Creates caps without demand.
     *
     * @param daemons a live view of the daemons of the ledger
     */
    RankCaps(Collection<LedgerDaemon> daemons, Map<Rank, RankLimits> rankLimits, long nowNanos) {
        this.daemons = daemons;
        this.rankLimits = new EnumMap<>(rankLimits);
        this.lastUpdateNanos = nowNanos - MIN_UPDATE_GAP_NANOS;
    }

    void setLimits(Map<Rank, RankLimits> newRankLimits) {
        rankLimits = new EnumMap<>(newRankLimits);
    }

    boolean isLimited(int rank) {
        return limited[rank];
    }

    /** Adds the demand of a daemon to the sums with a sign of 1, or subtracts it with a sign of -1. */
    void addDemand(LedgerDaemon daemon, int sign) {
        for (int rank = 0; rank < RANKS.length; rank++) {
            queued[rank] += sign * daemon.queued[rank];
            running[rank] += sign * daemon.running[rank];
            arrivalsPerSecond[rank] += sign * daemon.arrivalsPerSecond[rank];
        }
    }

    /** Updates the smoothed load of each rank by the current demand. */
    void updateLoads() {
        for (int rank = 0; rank < RANKS.length; rank++) {
            smoothedLoads[rank] += LOAD_SMOOTHING * (queued[rank] + running[rank] - smoothedLoads[rank]);
        }
    }

    private RankShares shares(int totalSlots) {
        int[] needed = new int[RANKS.length];
        double[] reserved = new double[RANKS.length];
        for (int rank = 0; rank < RANKS.length; rank++) {
            needed[rank] = queued[rank] + running[rank];
            reserved[rank] = arrivalsPerSecond[rank] > SlotLedger.MIN_RECENT_RATE_PER_SECOND
                    ? RESERVED_LOAD_FRACTION * smoothedLoads[rank]
                    : 0;
        }
        return new RankShares(totalSlots, needed, reserved, rankLimits);
    }

    /**
     * Updates the caps if a rank has become or is no longer limited, unless the last update is too recent; returns
     * whether they were updated.
     */
    boolean updateIfLimitsChange(int totalSlots, long nowNanos) {
        if (nowNanos - lastUpdateNanos < Math.max(MIN_UPDATE_GAP_NANOS, daemons.size() * UPDATE_GAP_NANOS_PER_DAEMON)) {
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
                // The fraction of a slot is carried over, so that the rank gets its exact share on average.
                double exact = shares.allowedSlots(rank) + carriedFractions[index];
                carriedFractions[index] = exact - Math.floor(exact);
                apportion(index, (int) exact);
            } else {
                // The slots that a daemon holds limit what it can start before its next report, so the cap of each
                // daemon may include the whole headroom.
                int headroom = Math.max(1, (int) (shares.ceilingSlots(rank) - queued[index] - running[index]));
                for (LedgerDaemon daemon : daemons) {
                    double share = arrivalsPerSecond[index] > 0
                            ? daemon.arrivalsPerSecond[index] / arrivalsPerSecond[index]
                            : 0;
                    int cap = Math.max(daemon.queued[index] + daemon.running[index] + headroom, (int)
                            Math.ceil(share * shares.ceilingSlots(rank)));
                    setCap(daemon, index, cap);
                    daemon.credits[index] = 0;
                }
            }
        }
    }

    /**
     * Divides the allowed slots of a rank among daemons by arrival rates. Credits carry fractions over to the next
     * update, so that daemons with a share below one slot get one in turn.
     */
    private void apportion(int rank, int slots) {
        List<LedgerDaemon> candidates = new ArrayList<>();
        double weightSum = 0;
        for (LedgerDaemon daemon : daemons) {
            if (daemon.queued[rank] + daemon.running[rank] > 0) {
                candidates.add(daemon);
                weightSum += daemon.arrivalsPerSecond[rank] + SlotLedger.MIN_RECENT_RATE_PER_SECOND;
            } else {
                setCap(daemon, rank, 1);
            }
        }
        int remaining = slots;
        for (LedgerDaemon daemon : candidates) {
            daemon.credits[rank] +=
                    slots * (daemon.arrivalsPerSecond[rank] + SlotLedger.MIN_RECENT_RATE_PER_SECOND) / weightSum;
            int wholeSlots = Math.max(
                    0,
                    Math.min(
                            (int) daemon.credits[rank],
                            Math.min(remaining, daemon.queued[rank] + daemon.running[rank])));
            daemon.newCap = wholeSlots;
            remaining -= wholeSlots;
        }
        candidates.sort(Comparator.comparingDouble((LedgerDaemon daemon) -> daemon.newCap - daemon.credits[rank]));
        boolean anyRaised = true;
        while (remaining > 0 && anyRaised) {
            anyRaised = false;
            // A daemon that needs less than its share can leave several slots, so that more than one round is needed.
            for (LedgerDaemon daemon : candidates) {
                if (remaining > 0 && daemon.newCap < daemon.queued[rank] + daemon.running[rank]) {
                    daemon.newCap++;
                    remaining--;
                    anyRaised = true;
                }
            }
        }
        for (LedgerDaemon daemon : candidates) {
            daemon.credits[rank] = Math.max(-2, Math.min(2, daemon.credits[rank] - daemon.newCap));
            setCap(daemon, rank, daemon.newCap);
        }
    }

    /**
     * Raises the caps of a daemon that keep requests of an unlimited rank queued, so that these requests don't wait for
     * the next rebalancing.
     */
    void raiseUnlimitedCaps(LedgerDaemon daemon) {
        for (int rank = 0; rank < RANKS.length; rank++) {
            int needed = daemon.queued[rank] + daemon.running[rank];
            if (!limited[rank] && daemon.queued[rank] > 0 && daemon.caps[rank] <= needed) {
                setCap(daemon, rank, needed + 1);
            }
        }
    }

    private static void setCap(LedgerDaemon daemon, int rank, int cap) {
        if (daemon.caps[rank] != cap) {
            daemon.caps[rank] = cap;
            daemon.capsChanged = true;
        }
    }
}
