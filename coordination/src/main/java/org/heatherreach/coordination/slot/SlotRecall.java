package org.heatherreach.coordination.slot;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * Lowers the leases of a daemon. Running requests finish; the next report, which the daemon sends without waiting for
 * the regular interval, returns the idle slots. Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param part the part of the service
 * @param leases absolute counts by server, as in {@link SlotGrant}
 * @param sequence as in {@link SlotGrant}
 */
public record SlotRecall(ServiceId service, int part, List<SlotLease> leases, long sequence) {
    /** Creates a recall. */
    public SlotRecall {
        Objects.requireNonNull(service, "service");
        leases = List.copyOf(leases);
    }
}
