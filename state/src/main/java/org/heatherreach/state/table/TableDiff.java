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
     * Compares two changes of the same base. Cells that only one side changed are merged; cells that both changed to
     * the same text agree; the others are conflicts. If one side removed a row and the other changed a cell of it, the
     * column {@code row} is in conflict.
     */
    public static MergeReport merge(Table base, Table mine, Table theirs) {
        Map<String, TableRow> baseRows = base.rowsByName();
        Map<String, TableRow> mineRows = mine.rowsByName();
        Map<String, TableRow> theirRows = theirs.rowsByName();
        List<CellChange> myChanges = between(baseRows, mineRows);
        List<CellChange> theirChanges = between(baseRows, theirRows);
        List<CellConflict> conflicts = new ArrayList<>();
        Map<String, TableRow> merged = new LinkedHashMap<>(theirRows);
        Set<String> changed = new LinkedHashSet<>();
        myChanges.forEach(change -> changed.add(change.row()));
        for (String name : changed) {
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
            String was = base == null ? "" : base.cell(column);
            String my = mine.cell(column);
            String their = theirs.cell(column);
            if (my.equals(was) || my.equals(their)) {
                continue;
            }
            if (their.equals(was)) {
                result = result.with(column, my);
            } else {
                conflicts.add(new CellConflict(name, column, was, my, their));
            }
        }
        return result;
    }

    private static List<CellChange> between(Map<String, TableRow> before, Map<String, TableRow> after) {
        List<CellChange> changes = new ArrayList<>();
        Set<String> names = new LinkedHashSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            TableRow old = before.get(name);
            TableRow now = after.get(name);
            if (old != null && old.equals(now)) {
                continue;
            }
            for (TableColumn column : TableColumn.values()) {
                String oldText = old == null ? "" : old.cell(column);
                String newText = now == null ? "" : now.cell(column);
                if (!oldText.equals(newText)) {
                    changes.add(new CellChange(name, column, oldText, newText));
                }
            }
        }
        return changes;
    }
}
