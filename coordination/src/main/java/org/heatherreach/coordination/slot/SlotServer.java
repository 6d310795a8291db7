package org.heatherreach.coordination.slot;

import java.util.Objects;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * A server in the VM list, as the slot pool and the slot ledger use it. Immutable and safe for use by any thread.
 *
 * @param server the server
 * @param zone its availability zone
 * @param sharePercent the percentage of its slots that may be used: 0 if it gets no new requests because it is ejected
 *     or leaving, 100 in normal operation, and a value in between while it is being readmitted
 */
public record SlotServer(ServerId server, ZoneId zone, int sharePercent) {
    /**
     * Creates a server.
     *
     * @throws IllegalArgumentException if the share is not between 0 and 100
     */
    public SlotServer {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(zone, "zone");
        if (sharePercent < 0 || sharePercent > 100) {
            throw new IllegalArgumentException("sharePercent must be between 0 and 100");
        }
    }

    /** Returns how many of the given slots may be used under the share; at least one unless the share is zero. */
    public int usableSlots(int slots) {
        return sharePercent == 0 ? 0 : Math.max(1, slots * sharePercent / 100);
    }
}
