package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

/**
 * Decides which idle slots are recalled, because other daemons lack them or because their daemon has no arrivals.
 *
 * <p>Invariants: no slot that is reported as in use is recalled; from daemons with arrivals, no more slots are recalled
 * than others lack and are not yet on their way back; the search for a donor after a report goes through a bounded number
 * of daemons. Confined to the thread of its ledger.
 */
final class IdleRecall {
    /** Bounds the daemons with idle slots that a recall chooses from; each search starts at a different daemon. */
    private static final int MAX_DONORS_CONSIDERED = 16;

    /** Bounds the daemons that a search for idle slots goes through. */
    private static final int MAX_DAEMONS_SCANNED = 64;

    private final Collection<LedgerDaemon> daemons;
    private final LeaseAccounts accounts;
    private final LedgerMessages messages;

    /** The daemons in the order in which idle slots are searched for; rebuilt after daemons were added or removed. */
    private final List<LedgerDaemon> donorOrder = new ArrayList<>();

    private int donorCursor;

    /**
     * Creates an instance.
     *
     * @param daemons a view of the daemons of the ledger
     * @param accounts the counts of their leases
     * @param messages makes the messages of recalls
     */
    IdleRecall(Collection<LedgerDaemon> daemons, LeaseAccounts accounts, LedgerMessages messages) {
        this.daemons = Objects.requireNonNull(daemons, "daemons");
        this.accounts = Objects.requireNonNull(accounts, "accounts");
        this.messages = Objects.requireNonNull(messages, "messages");
    }

    /** Rebuilds the order of the search before the next one, because daemons were added or removed. */
    void resetDonors() {
        donorOrder.clear();
    }

    /** Recalls the idle slots of daemons without recent arrivals. */
    void recallFromInactive() {
        for (LedgerDaemon daemon : daemons) {
            double rate = 0;
            for (double rankRate : daemon.arrivalsPerSecond) {
                rate += rankRate;
            }
            if (rate <= SlotLedger.MIN_RECENT_RATE_PER_SECOND) {
                for (LedgerLease lease : daemon.leases.values()) {
                    if (lease.granted > lease.inUse) {
                        accounts.setGranted(daemon, lease, lease.inUse);
                    }
                }
            }
        }
    }

    /** Recalls idle slots of daemons with the largest surplus, one for each daemon that lacks its first idle slot. */
    void spreadIdleSlots() {
        int missing = -accounts.returningSlots();
        for (LedgerDaemon daemon : daemons) {
            missing += daemon.idleTarget > 0 && daemon.heldSlots <= daemon.neededSlots() ? 1 : 0;
        }
        for (int i = 0; i < missing; i++) {
            LedgerDaemon donor = null;
            int largestSurplus = 0;
            for (LedgerDaemon daemon : daemons) {
                int surplus = daemon.heldSlots - daemon.neededSlots() - Math.min(1, daemon.idleTarget);
                if (surplus > largestSurplus && daemon.mostIdleLease() != null) {
                    donor = daemon;
                    largestSurplus = surplus;
                }
            }
            if (donor == null) {
                return;
            }
            LedgerLease lease = donor.mostIdleLease();
            accounts.setGranted(donor, lease, lease.granted - 1);
        }
    }

    /**
     * Recalls idle slots for the unmet need of all daemons, one at a time from a daemon with a large surplus. The
     * message to the reporting daemon is left to the caller.
     */
    void recallForNeed(int unmetNeed, LedgerDaemon reporter, List<LedgerAction> actions) {
        int missing = unmetNeed - accounts.returningSlots();
        while (missing > 0 && accounts.idleSlots() > 0) {
            LedgerDaemon donor = chooseDonor();
            if (donor == null) {
                return;
            }
            LedgerLease lease = donor.mostIdleLease();
            accounts.setGranted(donor, lease, lease.granted - 1);
            if (donor != reporter) {
                messages.sendIfChanged(donor, actions);
            }
            missing--;
        }
    }

    private LedgerDaemon chooseDonor() {
        if (donorOrder.size() != daemons.size()) {
            donorOrder.clear();
            donorOrder.addAll(daemons);
        }
        LedgerDaemon best = null;
        int largestSurplus = 0;
        int considered = 0;
        int scanned = Math.min(donorOrder.size(), MAX_DAEMONS_SCANNED);
        for (int i = 0; i < scanned && considered < MAX_DONORS_CONSIDERED; i++) {
            LedgerDaemon daemon = donorOrder.get((donorCursor + i) % donorOrder.size());
            int surplus = daemon.heldSlots - daemon.neededSlots();
            if (surplus > 0 && daemon.mostIdleLease() != null) {
                considered++;
                if (surplus > largestSurplus) {
                    best = daemon;
                    largestSurplus = surplus;
                }
            }
        }
        donorCursor = (donorCursor + (best == null ? scanned : 1)) % donorOrder.size();
        return best;
    }
}
