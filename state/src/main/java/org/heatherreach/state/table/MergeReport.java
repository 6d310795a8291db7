package org.heatherreach.state.table;

import java.util.List;

/**
 * The comparison of a rejected and an accepted change of the same table. Immutable and safe for use by any thread.
 *
 * @param mine the cells that the rejected change modifies
 * @param theirs the cells that the accepted change modified
 * @param conflicts the cells that the two changes set to different texts
 * @param merged the rows with both changes, where a conflicting cell has the text of the accepted change; they may
 *     violate the rules of the table
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
