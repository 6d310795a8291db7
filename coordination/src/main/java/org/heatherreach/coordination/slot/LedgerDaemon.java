package org.heatherreach.coordination.slot;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;

/** The demand, leases and rank caps of one daemon in a {@link SlotLedger}. Confined to the thread of its ledger. */
final class LedgerDaemon {
    private static final int RANKS = Rank.values().length;

    final IncarnationId id;
    final Map<ServerId, LedgerLease> leases = new LinkedHashMap<>();
    final int[] queued = new int[RANKS];
    final int[] running = new int[RANKS];
    final double[] arrivalsPerSecond = new double[RANKS];
    final int[] caps = new int[RANKS];

    /**
     * Fractions of slots by rank that the daemon is owed from earlier updates; negative if it got more than its share.
     */
    final double[] credits = new double[RANKS];

    ZoneId zone;

    /** The servers that the daemon may connect to; null if it may connect to all. */
    Set<ServerId> subset;

    /** The usable servers that the daemon may connect to. */
    List<LedgerServer> candidateServers;

    long reportNumber;
    long confirmedSequence;

    /** Grows with each change of the leases or caps that is sent to the daemon. */
    long sequence;

    long expiryDeadlineNanos;
    long lastRenewalNanos;
    boolean leasesChanged;
    boolean capsChanged;

    /** Sum over all servers of the granted slots, or of the slots in use where these are more. */
    int heldSlots;

    /** The slots that the daemon needs but does not hold, as last added to the sum that the ledger keeps. */
    int unmetNeed;

    /** The number of idle slots that the daemon is to keep beyond those that it needs. */
    int idleTarget;

    /** The new cap of the rank whose slots {@link RankCaps} is dividing. */
    int newCap;

    /** Arrival rate of the ranks that are not at their limit, by which idle slots are divided among daemons. */
    double weight;

    LedgerDaemon(IncarnationId id) {
        this.id = id;
    }

    boolean mayUse(LedgerServer server) {
        return server.usableSlots > 0 && (subset == null || subset.contains(server.id));
    }

    /** Returns the number of running requests and of queued requests that the caps allow to run. */
    int neededSlots() {
        int sum = 0;
        for (int rank = 0; rank < RANKS; rank++) {
            sum += running[rank] + Math.min(queued[rank], Math.max(0, caps[rank] - running[rank]));
        }
        return sum;
    }

    /**
     * Returns the ordinal of the most urgent rank with a queued request that its cap allows to run; the number of ranks
     * if there is none.
     */
    int mostUrgentWaitingRank() {
        for (int rank = 0; rank < RANKS; rank++) {
            if (queued[rank] > 0 && running[rank] < caps[rank]) {
                return rank;
            }
        }
        return RANKS;
    }

    /** Returns the lease with the most granted slots that are not in use; null if there is none. */
    LedgerLease mostIdleLease() {
        LedgerLease best = null;
        for (LedgerLease lease : leases.values()) {
            if (lease.granted > lease.inUse
                    && (best == null || lease.granted - lease.inUse > best.granted - best.inUse)) {
                best = lease;
            }
        }
        return best;
    }
}
