package org.heatherreach.state.table;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares tables cell by cell. Stateless. */
public final class TableDiff {
    private TableDiff() {}

    /** Returns the cells that differ, in the order of the CSV. */
    public static List<CellChange> between(Table before, Table after) {
        return between(before.rowsByName(), after.rowsByName());
    }

    /**
     * Compares two changes of the same base table. A cell that only one change modified gets that text. A cell that
     * both changes modified is a conflict unless they set it to the same text. If one change removed a row and the
     * other modified a cell of it, the conflict is in the column {@code row}.
     */
    public static MergeReport merge(Table base, Table mine, Table theirs) {
        Map<String, TableRow> baseRows = base.rowsByName();
        Map<String, TableRow> mineRows = mine.rowsByName();
        Map<String, TableRow> theirRows = theirs.rowsByName();
        List<CellChange> myChanges = between(baseRows, mineRows);
        List<CellChange> theirChanges = between(baseRows, theirRows);
        List<CellConflict> conflicts = new ArrayList<>();
        Map<String, TableRow> merged = new LinkedHashMap<>(theirRows);
        Set<String> changedNames = new LinkedHashSet<>();
        myChanges.forEach(change -> changedNames.add(change.row()));
        for (String name : changedNames) {
            TableRow result = mergeRow(name, baseRows.get(name), mineRows.get(name), theirRows.get(name), conflicts);
            if (result == null) {
                merged.remove(name);
            } else {
                merged.put(name, result);
            }
        }
        return new MergeReport(myChanges, theirChanges, conflicts, List.copyOf(merged.values()));
    }

    private static TableRow mergeRow(
            String name, TableRow base, TableRow mine, TableRow theirs, List<CellConflict> conflicts) {
        if (theirs == null && base != null && mine != null || mine == null && theirs != null && !theirs.equals(base)) {
            conflicts.add(new CellConflict(
                    name,
                    TableColumn.ROW,
                    base == null ? "" : name,
                    mine == null ? "" : name,
                    theirs == null ? "" : name));
            return theirs;
        }
        if (mine == null) {
            return null;
        }
        if (theirs == null) {
            return mine;
        }
        TableRow result = theirs;
        for (TableColumn column : TableColumn.values()) {
            String baseText = base == null ? "" : base.cell(column);
            String mineText = mine.cell(column);
            String theirText = theirs.cell(column);
            if (mineText.equals(baseText) || mineText.equals(theirText)) {
                continue;
            }
            if (theirText.equals(baseText)) {
                result = result.with(column, mineText);
            } else {
                conflicts.add(new CellConflict(name, column, baseText, mineText, theirText));
            }
        }
        return result;
    }

    private static List<CellChange> between(Map<String, TableRow> before, Map<String, TableRow> after) {
        List<CellChange> changes = new ArrayList<>();
        Set<String> names = new LinkedHashSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            TableRow oldRow = before.get(name);
            TableRow newRow = after.get(name);
            if (oldRow != null && oldRow.equals(newRow)) {
                continue;
            }
            for (TableColumn column : TableColumn.values()) {
                String oldText = oldRow == null ? "" : oldRow.cell(column);
                String newText = newRow == null ? "" : newRow.cell(column);
                if (!oldText.equals(newText)) {
                    changes.add(new CellChange(name, column, oldText, newText));
                }
            }
        }
        return changes;
    }
}
