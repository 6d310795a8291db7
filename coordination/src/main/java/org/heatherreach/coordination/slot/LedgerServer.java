package org.heatherreach.coordination.slot;

import org.heatherreach.state.id.ServerId;

/** The slots of one server in a {@link SlotLedger}. Confined to the thread of its ledger. */
final class LedgerServer {
    final ServerId id;
    SlotServer listed;
    int capacity;
    int bound;

    LedgerServer(ServerId id) {
        this.id = id;
    }

    int free() {
        return capacity - bound;
    }
}
