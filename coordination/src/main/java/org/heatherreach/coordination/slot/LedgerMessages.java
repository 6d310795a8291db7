package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * Makes the messages of a ledger to daemons.
 *
 * <p>Invariants: a message has every lease that changed since the sequence that the daemon last confirmed, so it replaces
 * all lost messages before it; the sequence of a daemon grows with each change. Confined to the thread of its ledger.
 */
final class LedgerMessages {
    private final ServiceId service;
    private final int part;

    LedgerMessages(ServiceId service, int part) {
        this.service = Objects.requireNonNull(service, "service");
        this.part = part;
    }

    /**
     * Adds the message that tells a daemon what has changed; none if nothing has. It is a recall if counts were only
     * lowered, else a grant.
     */
    void sendIfChanged(LedgerDaemon daemon, List<LedgerAction> actions) {
        if (!daemon.leasesChanged && !daemon.capsChanged) {
            return;
        }
        boolean onlyLowered = !daemon.capsChanged;
        for (LedgerLease lease : daemon.leases.values()) {
            onlyLowered &= lease.changedSequence <= daemon.confirmedSequence || lease.granted <= lease.reportedHeld;
        }
        if (onlyLowered) {
            advanceSequence(daemon);
            actions.add(new LedgerAction.SendRecall(
                    daemon.id, new SlotRecall(service, part, unconfirmedLeases(daemon), daemon.sequence)));
        } else {
            actions.add(createGrant(daemon, 0));
        }
    }

    /**
     * Returns a grant with every change that the daemon has not confirmed.
     *
     * @param reportNumber the number of the report that it answers; 0 if it answers none
     */
    LedgerAction createGrant(LedgerDaemon daemon, long reportNumber) {
        advanceSequence(daemon);
        List<Integer> capsByRank = new ArrayList<>(daemon.caps.length);
        for (int cap : daemon.caps) {
            capsByRank.add(cap);
        }
        int validMillis = (int) (SlotLedger.LEASE_DURATION_NANOS / 1_000_000);
        return new LedgerAction.SendGrant(
                daemon.id,
                new SlotGrant(
                        service,
                        part,
                        unconfirmedLeases(daemon),
                        validMillis,
                        reportNumber,
                        daemon.sequence,
                        capsByRank,
                        daemon.idleTarget));
    }

    private static void advanceSequence(LedgerDaemon daemon) {
        if (daemon.leasesChanged || daemon.capsChanged) {
            daemon.sequence++;
            daemon.leasesChanged = false;
            daemon.capsChanged = false;
        }
    }

    private static List<SlotLease> unconfirmedLeases(LedgerDaemon daemon) {
        List<SlotLease> unconfirmed = new ArrayList<>();
        for (LedgerLease lease : daemon.leases.values()) {
            if (lease.changedSequence > daemon.confirmedSequence) {
                // The daemon may return the slot and then apply this message, so the upper bound must be kept until
                // the daemon confirms this message too.
                lease.changedSequence = daemon.sequence;
                unconfirmed.add(new SlotLease(lease.server.id, lease.granted));
            }
        }
        return unconfirmed;
    }
}
