package org.heatherreach.coordination.table;

import java.util.List;
import java.util.Optional;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.coordination.member.TableBeacon;
import org.heatherreach.state.id.IncarnationId;

/** Brings table versions from the store to every daemon. Implementations are confined to one duty thread. */
public interface TableDistribution {
    /** Moves due repeats and deadlines on. Call it about every 100 ms. */
    List<TableAction> tick(long nowNanos);

    /**
     * Takes the reachable members.
     *
     * @param readers the readers of the table in every region
     */
    List<TableAction> changeMembers(MemberView members, List<Member> readers, long nowNanos);

    /** Takes what a packet of a peer told. */
    List<TableAction> hear(Member from, TableBeacon beacon, long nowNanos);

    /** Handles a push. */
    List<TableAction> receivePush(IncarnationId from, TablePush push, long nowNanos);

    /** Handles a fetch. */
    List<TableAction> receiveFetch(IncarnationId from, TableFetch fetch, long nowNanos);

    /** Handles an answer to a fetch. */
    List<TableAction> receiveAnswer(IncarnationId from, TableAnswer answer, long nowNanos);

    /** Takes the head's version and the table that the store returned or a watch delivered. */
    List<TableAction> readStore(long version, byte[] content, long nowNanos);

    /** Takes that the store answered and that its head has no other version than the one known. */
    List<TableAction> confirmStore(long nowNanos);

    /** Takes that a call on the store failed. */
    List<TableAction> loseStore(long nowNanos);

    /** Returns the version in force on this daemon; zero if there is none. */
    long version();

    /** Returns the table in force on this daemon. */
    Optional<byte[]> content();
}
