package org.heatherreach.coordination.member;

/** What the owner of a {@link Membership} has to do. Immutable and safe for use by any thread. */
public sealed interface MemberAction {
    /**
     * Sends a datagram.
     *
     * @param to the receiver
     * @param packet the content
     */
    record SendPacket(MemberAddress to, MemberPacket packet) implements MemberAction {}

    /**
     * Tells the other duties that the state of a member has changed, or that it is new.
     *
     * @param member the member with its new state
     * @param previous the state before; null for a new member
     */
    record ChangeMember(Member member, MemberState previous) implements MemberAction {}

    /**
     * Hands the table version and the store view of a peer to the table duty. It also proves that a peer was heard.
     *
     * @param from the peer
     * @param beacon its content
     */
    record ReportBeacon(Member from, TableBeacon beacon) implements MemberAction {}

    /**
     * Tells the record duty that a peer answered a ping, which extends the activity deadline.
     *
     * @param sentNanos when the answered ping was sent; an answer that waited in a buffer during a pause proves
     *     nothing about the time of its processing
     */
    record ExtendActivity(long sentNanos) implements MemberAction {}
}
