package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.heatherreach.state.rank.Rank;

/**
 * Divides the slots that no request needs among the daemons, so that each has an idle slot for its next request.
 *
 * <p>Invariants: a reserve of the slots is in no idle target; a daemon without recent arrivals gets no idle slot. Has no
 * state; the daemons that it updates are confined to the thread of their ledger.
 */
final class IdleTargets {
    /**
     * Percentage of the slots that is kept out of the idle targets, so that a queued request gets a free slot
     * within a round trip instead of after a recall.
     */
    private static final int RESERVE_PERCENT = 10;

    private static final int RANK_COUNT = Rank.values().length;

    private IdleTargets() {}

    /** Sets the idle targets: one slot for each active daemon if there are enough, and the rest by arrival rates. */
    static void update(Collection<LedgerDaemon> daemons, RankCaps caps, int totalSlots) {
        List<LedgerDaemon> active = new ArrayList<>();
        double weightSum = 0;
        int spare = totalSlots;
        for (LedgerDaemon daemon : daemons) {
            daemon.weight = 0;
            for (int rank = 0; rank < RANK_COUNT; rank++) {
                // A rank at its limit can't use an idle slot.
                daemon.weight += caps.isLimited(rank) ? 0 : daemon.arrivalsPerSecond[rank];
            }
            daemon.idleTarget = 0;
            spare -= daemon.neededSlots();
            if (daemon.weight > SlotLedger.MIN_RECENT_RATE_PER_SECOND) {
                active.add(daemon);
                weightSum += daemon.weight;
            }
        }
        spare -= totalSlots * RESERVE_PERCENT / 100;
        if (spare <= 0 || active.isEmpty()) {
            return;
        }
        int rest = spare - active.size();
        if (rest >= 0) {
            for (LedgerDaemon daemon : active) {
                daemon.idleTarget = 1 + (int) (rest * daemon.weight / weightSum);
            }
            return;
        }
        // The factor lets a daemon keep its idle slot unless another has clearly more arrivals.
        active.sort(Comparator.comparingDouble(
                (LedgerDaemon daemon) -> -daemon.weight * (daemon.heldSlots > daemon.neededSlots() ? 1.25 : 1)));
        for (LedgerDaemon daemon : active.subList(0, spare)) {
            daemon.idleTarget = 1;
        }
    }
}
