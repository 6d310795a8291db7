package org.heatherreach.daemon.fleet;

/** Listens to tables that come into force. Called on the table duty, so implementations pass them to their own ring. */
@FunctionalInterface
public interface TableListener {
    /** Called when a table comes into force; its version is larger than that of every earlier one. */
    void onTableChanged(TableInForce table);
}
