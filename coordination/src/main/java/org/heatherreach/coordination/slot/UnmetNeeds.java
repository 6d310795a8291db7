package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The daemons that hold fewer slots than they need.
 *
 * <p>Invariant: the sum equals that of the unmet needs of these daemons, as they were when each was updated. Confined to
 * the thread of its ledger.
 */
final class UnmetNeeds {
    private final Set<LedgerDaemon> daemons = new LinkedHashSet<>();
    private int sum;

    /** Adds a daemon that holds fewer slots than it needs, or updates its need. */
    void update(LedgerDaemon daemon) {
        daemons.add(daemon);
        sum += daemon.neededSlots() - daemon.heldSlots - daemon.unmetNeed;
        daemon.unmetNeed = daemon.neededSlots() - daemon.heldSlots;
    }

    /** Removes a daemon; has no effect if it holds what it needs. */
    void remove(LedgerDaemon daemon) {
        if (daemons.remove(daemon)) {
            sum -= daemon.unmetNeed;
            daemon.unmetNeed = 0;
        }
    }

    boolean isEmpty() {
        return daemons.isEmpty();
    }

    /** Returns how many slots the daemons lack together. */
    int sum() {
        return sum;
    }

    /** Returns the daemons, those with the most urgent waiting requests first. */
    List<LedgerDaemon> byUrgency() {
        List<LedgerDaemon> waiting = new ArrayList<>(daemons);
        waiting.sort(Comparator.comparingInt(LedgerDaemon::mostUrgentWaitingRank));
        return waiting;
    }
}
