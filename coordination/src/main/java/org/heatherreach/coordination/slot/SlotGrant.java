package org.heatherreach.coordination.slot;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * The leases, rank caps and idle target that the owner of a service part sends to a daemon. Immutable and safe for use
 * by any thread. Invariant: the leases contain every count that changed since the sequence that the daemon last
 * confirmed, so a grant replaces all lost messages before it.
 *
 * @param service the service
 * @param part the part of the service
 * @param leases absolute counts by server
 * @param validMillis how long every lease of the daemon is valid, from the moment the answered report was sent
 * @param reportNumber number of the report that this grant answers; zero if it answers none and so extends no lease
 * @param sequence grows with each change of the leases or caps of the daemon
 * @param rankCaps limits on the running requests of each rank at the daemon, by rank ordinal
 * @param idleTarget the number of idle slots that the daemon keeps; it returns idle slots above it at once
 */
public record SlotGrant(
        ServiceId service,
        int part,
        List<SlotLease> leases,
        int validMillis,
        long reportNumber,
        long sequence,
        List<Integer> rankCaps,
        int idleTarget) {
    /** Creates a grant. */
    public SlotGrant {
        Objects.requireNonNull(service, "service");
        leases = List.copyOf(leases);
        rankCaps = List.copyOf(rankCaps);
    }
}
