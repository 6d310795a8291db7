package org.heatherreach.coordination.member;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.heatherreach.state.id.IncarnationId;

/** Tracks which daemons of the fleet are alive. Implementations are confined to one duty thread. */
public interface Membership {
    /** Sends pings that are due and handles expired timeouts. Must be called about every 100 ms. */
    List<MemberAction> tick(long nowNanos);

    /** Handles a received datagram. */
    List<MemberAction> receive(MemberPacket packet, long nowNanos);

    /** Replaces the addresses of the VM list. Addresses without a known reachable member are contacted. */
    void updateVmList(Collection<MemberAddress> addresses);

    /** Sets the table version and the view of the store that later packets carry. */
    void advertise(long tableVersion, long storeConfirmedNanos, boolean storeUnavailable);

    /** Announces that this daemon accepts no new work. */
    List<MemberAction> announceLeaving(long nowNanos);

    /** Announces that this daemon ends. This is the last call before the end of the process. */
    List<MemberAction> announceLeft(long nowNanos);

    /** Returns this daemon as it sees itself. */
    Member self();

    /** Finds a member in any state, including a dead one whose entry is still kept. */
    Optional<Member> find(IncarnationId incarnation);

    /** Returns the reachable members, including this daemon. */
    MemberView view();
}
