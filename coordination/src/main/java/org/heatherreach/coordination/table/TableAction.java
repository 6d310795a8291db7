package org.heatherreach.coordination.table;

import org.heatherreach.coordination.member.Member;

/**
 * A side effect that the caller of a {@link TableDistribution} has to perform. Immutable and safe for use by any
 * thread.
 */
public sealed interface TableAction {
    /**
     * Puts a version in force on this daemon and advertises it in member packets.
     *
     * @param version the version, larger than every earlier one
     * @param content the encoded table
     */
    record AdoptTable(long version, byte[] content) implements TableAction {}

    /**
     * Sends a push to a peer.
     *
     * @param to the receiver
     * @param push the content
     */
    record SendPush(Member to, TablePush push) implements TableAction {}

    /**
     * Sends a fetch to a peer, which also reports this daemon's version.
     *
     * @param to the receiver
     * @param fetch the content
     */
    record SendFetch(Member to, TableFetch fetch) implements TableAction {}

    /**
     * Answers the fetch of a peer.
     *
     * @param to the receiver
     * @param answer the content
     */
    record SendAnswer(Member to, TableAnswer answer) implements TableAction {}

    /** Starts a watch on the table head in the store. */
    record WatchStore() implements TableAction {}

    /** Ends the watch on the table head. */
    record EndWatch() implements TableAction {}

    /**
     * Reads the table head from the store, and the chunks if it has changed; the caller passes the result to the
     * distribution.
     */
    record ReadStore() implements TableAction {}

    /**
     * Removes this daemon from address answers and refuses new work with the outcome "not run".
     *
     * @param cause the cause of the isolation
     */
    record EnterIsolation(IsolationCause cause) implements TableAction {}

    /** Accepts new work again. */
    record LeaveIsolation() implements TableAction {}
}
