package org.heatherreach.daemon.fleet;

import java.util.Objects;

import org.heatherreach.state.table.Table;

/**
 * The table in force on a daemon, with its version. Immutable and safe for use by any thread.
 *
 * @param version the version; zero if no version was received yet
 * @param table the rows
 */
public record TableInForce(long version, Table table) {
    /** Creates a table in force. */
    public TableInForce {
        Objects.requireNonNull(table, "table");
    }
}
