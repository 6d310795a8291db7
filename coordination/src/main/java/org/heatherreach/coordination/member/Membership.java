package org.heatherreach.coordination.member;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.heatherreach.state.id.IncarnationId;

/** Knows which daemons are alive. Implementations are confined to one duty thread. */
public interface Membership {
    /** Sends due pings and moves due suspicions on. Call it about every 100 ms. */
    List<MemberAction> tick(long nowNanos);

    /** Handles a datagram. */
    List<MemberAction> receive(MemberPacket packet, long nowNanos);

    /** Replaces the addresses of the VM list. They are contacted if no live member is known there. */
    void listed(Collection<MemberAddress> addresses);

    /** Sets what later packets tell about the table and the store. */
    void advertise(long tableVersion, long storeConfirmedNanos, boolean storeAway);

    /** Announces that this daemon takes no new work. */
    List<MemberAction> announceLeaving(long nowNanos);

    /** Announces the end of this daemon; the last call before the process ends. */
    List<MemberAction> announceLeft(long nowNanos);

    /** Returns this daemon as it sees itself. */
    Member self();

    /** Finds a member that is not forgotten yet. */
    Optional<Member> find(IncarnationId incarnation);

    /** Returns the reachable members, with this daemon. */
    MemberView view();
}
