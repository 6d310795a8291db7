package org.heatherreach.coordination.slot;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;

/** What a {@link SlotLedger} knows of one daemon: its demand, its slots and its caps. Confined to the thread of its ledger. */
final class LedgerView {
    private static final int RANKS = Rank.values().length;

    final IncarnationId daemon;
    final Map<ServerId, LedgerHold> holds = new LinkedHashMap<>();
    final int[] queued = new int[RANKS];
    final int[] running = new int[RANKS];
    final double[] rates = new double[RANKS];
    final int[] caps = new int[RANKS];
    final double[] credits = new double[RANKS];
    ZoneId zone;
    Set<ServerId> subset;
    List<LedgerServer> candidates;
    long reportNumber;
    long confirmed;
    long sequence;
    long expiryDeadlineNanos;
    long renewedNanos;
    boolean changed;
    boolean capsChanged;
    int holding;
    int unmet;
    int spare;
    int newCap;
    double weight;

    LedgerView(IncarnationId daemon) {
        this.daemon = daemon;
    }

    boolean mayUse(LedgerServer server) {
        return server.capacity > 0 && (subset == null || subset.contains(server.id));
    }

    /** The running requests and those queued ones that the caps let run. */
    int needed() {
        int sum = 0;
        for (int rank = 0; rank < RANKS; rank++) {
            sum += running[rank] + Math.min(queued[rank], Math.max(0, caps[rank] - running[rank]));
        }
        return sum;
    }

    int mostUrgentQueued() {
        for (int rank = 0; rank < RANKS; rank++) {
            if (queued[rank] > 0 && running[rank] < caps[rank]) {
                return rank;
            }
        }
        return RANKS;
    }

    LedgerHold idleHold() {
        LedgerHold best = null;
        for (LedgerHold hold : holds.values()) {
            if (hold.granted > hold.inUse && (best == null || hold.granted - hold.inUse > best.granted - best.inUse)) {
                best = hold;
            }
        }
        return best;
    }
}
