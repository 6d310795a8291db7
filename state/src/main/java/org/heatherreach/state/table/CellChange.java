package org.heatherreach.state.table;

/**
 * One cell that differs between two tables. A row that exists in one table only also differs in its column {@code row}.
 * Immutable and safe for use by any thread.
 *
 * @param row the name of the row
 * @param column the column
 * @param before the text before, empty for none
 * @param after the text after, empty for none
 */
public record CellChange(String row, TableColumn column, String before, String after) {
    /** Returns the line that operators see. */
    @Override
    public String toString() {
        return row + " " + column.label() + ": " + show(before) + " -> " + show(after);
    }

    static String show(String value) {
        return value.isEmpty() ? "(empty)" : value;
    }
}
