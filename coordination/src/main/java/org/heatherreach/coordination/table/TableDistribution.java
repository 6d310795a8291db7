package org.heatherreach.coordination.table;

import java.util.List;
import java.util.Optional;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.coordination.member.TableBeacon;
import org.heatherreach.state.id.IncarnationId;

/** Distributes table versions from the store to all daemons. Implementations are confined to one duty thread. */
public interface TableDistribution {
    /** Performs retries that are due and handles expired deadlines. Must be called about every 100 ms. */
    List<TableAction> tick(long nowNanos);

    /**
     * Replaces the reachable members and the readers.
     *
     * @param readers the readers of the table in every region
     */
    List<TableAction> changeMembers(MemberView members, List<Member> readers, long nowNanos);

    /** Handles the table version and the view of the store that a packet of a peer advertises. */
    List<TableAction> receiveBeacon(Member from, TableBeacon beacon, long nowNanos);

    /** Handles a push of a peer. */
    List<TableAction> receivePush(IncarnationId from, TablePush push, long nowNanos);

    /** Handles a fetch of a peer. */
    List<TableAction> receiveFetch(IncarnationId from, TableFetch fetch, long nowNanos);

    /** Handles the answer of a peer to a fetch. */
    List<TableAction> receiveAnswer(IncarnationId from, TableAnswer answer, long nowNanos);

    /** Handles the version of the head and the table after a read of the store or an event of the watch. */
    List<TableAction> handleStoreContent(long version, byte[] content, long nowNanos);

    /** Handles an answer of the store that its head still has the known version. */
    List<TableAction> handleStoreUnchanged(long nowNanos);

    /** Handles a failed call to the store. */
    List<TableAction> handleStoreFailure(long nowNanos);

    /** Returns the version in force on this daemon; zero if there is none. */
    long version();

    /** Returns the table in force on this daemon. */
    Optional<byte[]> content();
}
