package org.heatherreach.daemon.fleet;

import java.util.Objects;

import org.heatherreach.state.table.Table;

/**
 * The table that a daemon works by. Immutable and safe for use by any thread.
 *
 * @param version the version; zero if none was ever received
 * @param table the rows
 */
public record TableInForce(long version, Table table) {
    /** Creates a table in force. */
    public TableInForce {
        Objects.requireNonNull(table, "table");
    }
}
