package org.heatherreach.coordination.slot;

import org.heatherreach.state.id.ServerId;

/** The usable slots of one server and their use in a {@link SlotLedger}. Confined to the thread of its ledger. */
final class LedgerServer {
    final ServerId id;
    /** The entry of the server in the VM list; null if it is no longer listed. */
    SlotServer listed;

    int usableSlots;

    /** Sum of the upper bounds {@link LedgerLease#maxInUse} over all daemons. */
    int maxInUse;

    LedgerServer(ServerId id) {
        this.id = id;
    }

    int freeSlots() {
        return usableSlots - maxInUse;
    }
}
