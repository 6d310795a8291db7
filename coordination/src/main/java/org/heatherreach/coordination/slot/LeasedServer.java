package org.heatherreach.coordination.slot;

import org.heatherreach.state.id.ServerId;

/** The slots of one server that this daemon has leased, and those that its requests use. Confined to one thread. */
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
     * Returns the number of leased slots that no request uses; negative if requests use more slots than are leased and
     * usable, as after a recall.
     */
    int idleSlots() {
        return Math.min(held, usableSlots) - inUse;
    }
}
