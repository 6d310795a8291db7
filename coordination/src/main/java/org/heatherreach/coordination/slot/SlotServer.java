package org.heatherreach.coordination.slot;

import java.util.Objects;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * A listed server as seen by the scheduling logic. Immutable and safe for use by any thread.
 *
 * @param server the server
 * @param zone its availability zone
 * @param sharePercent 0 if it gets no new work (ejected or leaving), 100 if it is in full use, between while readmitted
 */
public record SlotServer(ServerId server, ZoneId zone, int sharePercent) {
    /**
     * Creates a server.
     *
     * @throws IllegalArgumentException if the share does not lie in 0 to 100
     */
    public SlotServer {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(zone, "zone");
        if (sharePercent < 0 || sharePercent > 100) {
            throw new IllegalArgumentException("sharePercent must lie in 0 to 100");
        }
    }

    /** Returns how many of the slots of a server may be used; at least one unless the share is zero. */
    public int usableSlots(int slots) {
        return sharePercent == 0 ? 0 : Math.max(1, slots * sharePercent / 100);
    }
}
