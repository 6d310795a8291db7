package org.heatherreach.state.table;

import java.util.List;

/**
 * The comparison of two changes of the same table. Immutable and safe for use by any thread.
 *
 * @param mine the cells that the rejected change sets
 * @param theirs the cells that the accepted change set
 * @param conflicts the cells that both set differently
 * @param merged the rows with both changes; where they conflict, with the accepted one. They may break a rule
 */
public record MergeReport(
        List<CellChange> mine, List<CellChange> theirs, List<CellConflict> conflicts, List<TableRow> merged) {
    /** Creates a report. */
    public MergeReport {
        mine = List.copyOf(mine);
        theirs = List.copyOf(theirs);
        conflicts = List.copyOf(conflicts);
        merged = List.copyOf(merged);
    }
}
