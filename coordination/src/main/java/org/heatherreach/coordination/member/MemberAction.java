package org.heatherreach.coordination.member;

/** A side effect that the caller of a {@link Membership} has to perform. Immutable and safe for use by any thread. */
public sealed interface MemberAction {
    /**
     * Sends a datagram.
     *
     * @param to the receiver
     * @param packet the content
     */
    record SendPacket(MemberAddress to, MemberPacket packet) implements MemberAction {}

    /**
     * Notifies the other duties that a member is new or that its state has changed.
     *
     * @param member the member with its new state
     * @param previous the state before; null for a new member
     */
    record ChangeMember(Member member, MemberState previous) implements MemberAction {}

    /**
     * Passes the table version of a peer and its view of the store to the table duty. This also shows that a packet of
     * a peer has arrived.
     *
     * @param from the peer
     * @param beacon the table version and the view of the store
     */
    record ReportBeacon(Member from, TableBeacon beacon) implements MemberAction {}

    /**
     * Notifies the record duty that a peer answered a ping, which extends the activity deadline.
     *
     * @param sentNanos when the answered ping was sent. The time at which the answer is processed proves nothing,
     *     because the answer may have waited in a buffer while this process was paused.
     */
    record ExtendActivity(long sentNanos) implements MemberAction {}
}
