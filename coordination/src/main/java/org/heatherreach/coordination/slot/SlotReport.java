package org.heatherreach.coordination.slot;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * The holdings and the demand that a daemon reports to the owner of a service part. Immutable and safe for use by any
 * thread.
 *
 * @param service the service
 * @param part the part of the service
 * @param holdings one entry for each server of which the daemon holds or uses a slot
 * @param demand the demand by rank
 * @param number increases with each report of a daemon incarnation, from 1
 * @param appliedSequence sequence of the newest grant or recall of this owner that the daemon applied; zero if none
 */
public record SlotReport(
        ServiceId service,
        int part,
        List<SlotHolding> holdings,
        List<RankDemand> demand,
        long number,
        long appliedSequence) {
    /** Creates a report. */
    public SlotReport {
        Objects.requireNonNull(service, "service");
        holdings = List.copyOf(holdings);
        demand = List.copyOf(demand);
    }
}
