package org.heatherreach.state.table;

/**
 * One cell that two operators changed differently. Immutable and safe for use by any thread.
 *
 * @param row the name of the row
 * @param column the column
 * @param base the text before both changes, empty for none
 * @param mine the text in the rejected change, empty for none
 * @param theirs the text in the accepted change, empty for none
 */
public record CellConflict(String row, TableColumn column, String base, String mine, String theirs) {
    /** Returns the line that operators see. */
    @Override
    public String toString() {
        return row + " " + column.label() + ": was " + CellChange.show(base) + ", yours " + CellChange.show(mine)
                + ", theirs " + CellChange.show(theirs);
    }
}
