package org.heatherreach.transport.kv;

import java.util.Objects;

import org.heatherreach.protocol.kv.TableHead;
import org.heatherreach.state.table.Table;

/**
 * An accepted table with its version. Immutable.
 *
 * @param version the revision of the store at which the table was accepted
 * @param head the head that the change wrote, with its author, comment and chunks
 * @param table the table
 */
public record TableSnapshot(long version, TableHead head, Table table) {
    /** Creates a snapshot. */
    public TableSnapshot {
        Objects.requireNonNull(head, "head");
        Objects.requireNonNull(table, "table");
    }
}
