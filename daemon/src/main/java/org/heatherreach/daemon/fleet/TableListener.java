package org.heatherreach.daemon.fleet;

/** Learns of each table that comes into force. Called on the table duty, so implementations hand over to their ring. */
@FunctionalInterface
public interface TableListener {
    /** Takes a table whose version is larger than that of every earlier one. */
    void changeTable(TableInForce table);
}
