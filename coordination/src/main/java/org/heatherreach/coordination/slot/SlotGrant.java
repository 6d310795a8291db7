package org.heatherreach.coordination.slot;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * What the owner of a service part grants to a daemon. Immutable and safe for use by any thread.
 * Invariant: the leases hold every count that changed since the sequence that the daemon last confirmed, so a grant
 * replaces all lost ones before it.
 *
 * @param service the service
 * @param part the part of the service
 * @param leases absolute counts by server
 * @param validMillis how long every lease of the daemon is valid, from the moment the answered report was sent
 * @param reportNumber the report that this grant answers; zero if it answers none and so extends no lease
 * @param sequence grows with each change that the owner makes for the daemon
 * @param rankCaps limit on the running requests of each rank, by ordinal
 * @param idleTarget the number of idle slots that the daemon keeps; it returns any more at once
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
