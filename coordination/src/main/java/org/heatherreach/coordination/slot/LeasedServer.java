package org.heatherreach.coordination.slot;

import org.heatherreach.state.id.ServerId;

/** The slots of one server that a daemon has leased and uses. Confined to one thread. */
final class LeasedServer {
    final ServerId id;
    boolean sameZone;
    int sharePercent;

    /** The number of slots of the server that may be used under its share. */
    int usableSlots;

    int held;
    int inUse;

    LeasedServer(ServerId id) {
        this.id = id;
    }

    /**
     * Returns the number of leased slots that no request uses; negative if slots were recalled while requests used
     * them.
     */
    int idleSlots() {
        return Math.min(held, usableSlots) - inUse;
    }
}
