package org.heatherreach.coordination.slot;

/** The slots of one server that a daemon holds by a {@link SlotLedger}. Confined to the thread of its ledger. */
final class LedgerHold {
    final LedgerServer server;
    int granted;
    int bound;
    int inUse;
    int reportedHeld;
    int reportedInUse;
    long changedSequence;

    LedgerHold(LedgerServer server) {
        this.server = server;
    }
}
