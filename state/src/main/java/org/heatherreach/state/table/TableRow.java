package org.heatherreach.state.table;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * A row of the table as text, as in the CSV. An empty cell is an empty string. Immutable and safe for use by any
 * thread.
 *
 * @param name the value of the column {@code row}
 * @param cells the other cells that are not empty
 */
public record TableRow(String name, Map<TableColumn, String> cells) {
    /** Creates a row without empty cells and without a cell of the column {@code row}. */
    public TableRow {
        Objects.requireNonNull(name, "name");
        Map<TableColumn, String> copy = new EnumMap<>(TableColumn.class);
        cells.forEach((column, value) -> {
            if (column != TableColumn.ROW && !value.isEmpty()) {
                copy.put(column, value);
            }
        });
        cells = Collections.unmodifiableMap(copy);
    }

    /** Returns the text of a cell, empty if it has no value. */
    public String cell(TableColumn column) {
        return column == TableColumn.ROW ? name : cells.getOrDefault(column, "");
    }

    /** Returns a copy with one cell replaced. */
    public TableRow with(TableColumn column, String value) {
        Map<TableColumn, String> changed = new EnumMap<>(TableColumn.class);
        changed.putAll(cells);
        changed.put(column, value);
        return new TableRow(name, changed);
    }
}
