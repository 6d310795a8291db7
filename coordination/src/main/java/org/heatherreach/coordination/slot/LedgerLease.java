package org.heatherreach.coordination.slot;

/**
 * The slots of one server that a {@link SlotLedger} has granted to one daemon, and how many of them the daemon uses.
 * Confined to the thread of its ledger.
 */
final class LedgerLease {
    final LedgerServer server;
    int granted;

    /**
     * Upper bound on the slots that the daemon may be using, including slots that were recalled but whose return is
     * not confirmed yet.
     */
    int maxInUse;

    int inUse;
    int reportedHeld;
    int reportedInUse;

    /**
     * Sequence of the newest message that contains this lease, also while that message is yet to be sent. The daemon
     * has confirmed the lease if {@link LedgerDaemon#confirmedSequence} is at least as high.
     */
    long changedSequence;

    LedgerLease(LedgerServer server) {
        this.server = server;
    }
}
