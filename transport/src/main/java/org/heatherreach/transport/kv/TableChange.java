package org.heatherreach.transport.kv;

import java.util.Objects;

import org.heatherreach.state.table.Table;

/**
 * A change of the table that an operator applies. Immutable.
 *
 * @param changeId a unique id, by which the change is found in the history if a response is lost
 * @param author the operator who makes the change
 * @param comment the reason for the change; may be empty
 * @param baseVersion the version of the table that the operator edited, or 0 if there was no table
 * @param epochMillis the wall-clock time of the change, for display in the history
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
