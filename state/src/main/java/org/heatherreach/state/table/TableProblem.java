package org.heatherreach.state.table;

import java.util.Objects;

/**
 * Why a table is rejected: one cell and the rule that it violates. Immutable and safe for use by any thread.
 *
 * @param row the name of the row, or its line number if it has no name
 * @param column the label of the column
 * @param value the rejected text
 * @param rule what the value must be
 */
public record TableProblem(String row, String column, String value, String rule) {
    /** Creates a problem. */
    public TableProblem {
        Objects.requireNonNull(row, "row");
        Objects.requireNonNull(column, "column");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(rule, "rule");
    }

    /** Returns the line that operators see. */
    @Override
    public String toString() {
        return "row " + row + ", column " + column + ", value \"" + value + "\": " + rule;
    }
}
