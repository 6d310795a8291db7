package org.heatherreach.coordination.table;

import org.heatherreach.coordination.member.Member;

/** What the owner of a {@link TableDistribution} has to do. Immutable and safe for use by any thread. */
public sealed interface TableAction {
    /**
     * Puts a version in force on this daemon and advertises it in member packets.
     *
     * @param version the version, larger than every earlier one
     * @param content the table
     */
    record AdoptTable(long version, byte[] content) implements TableAction {}

    /**
     * Sends a push.
     *
     * @param to the receiver
     * @param push the content
     */
    record SendPush(Member to, TablePush push) implements TableAction {}

    /**
     * Sends a fetch, which also reports this daemon's version.
     *
     * @param to the receiver
     * @param fetch the content
     */
    record SendFetch(Member to, TableFetch fetch) implements TableAction {}

    /**
     * Answers a fetch.
     *
     * @param to the receiver
     * @param answer the content
     */
    record SendAnswer(Member to, TableAnswer answer) implements TableAction {}

    /** Starts to watch the head in the store. */
    record WatchStore() implements TableAction {}

    /** Ends the watch. */
    record EndWatch() implements TableAction {}

    /** Reads the head, and the chunks if it has changed; reports the result to the distribution. */
    record ReadStore() implements TableAction {}

    /**
     * Takes this daemon out of address answers and refuses new work as not run.
     *
     * @param cause the cause
     */
    record EnterIsolation(IsolationCause cause) implements TableAction {}

    /** Takes new work again. */
    record LeaveIsolation() implements TableAction {}
}
