package org.heatherreach.transport.kv;

import java.util.Objects;

import org.heatherreach.state.table.Table;

/**
 * A change that an operator wants to apply. Immutable.
 *
 * @param changeId a new id, by which the change is found again if a response is lost
 * @param author who makes the change
 * @param comment why; may be empty
 * @param baseVersion the version that the operator edited, or 0 if there was no table
 * @param epochMillis the wall-clock time, for display in the history
 * @param table the new table
 */
public record TableChange(
        String changeId, String author, String comment, long baseVersion, long epochMillis, Table table) {
    /** Creates a change. */
    public TableChange {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(comment, "comment");
        Objects.requireNonNull(table, "table");
    }
}
