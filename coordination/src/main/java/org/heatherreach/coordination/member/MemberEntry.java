package org.heatherreach.coordination.member;

/** The state that a {@link MemberList} keeps for another daemon. Confined to the thread of its list. */
final class MemberEntry {
    Member member;
    /** For a suspect, when it is declared dead; for a member that is dead or has left, when its entry is removed. */
    long deadlineNanos;

    /** The earliest time at which the member may again be notified that it is suspected or declared dead. */
    long suspicionNoticeAllowedNanos;

    /** The position in the {@link PingTargets}; negative while the member is not in it. */
    int pingTargetsIndex = -1;

    MemberEntry(Member member, long nowNanos) {
        this.member = member;
        this.suspicionNoticeAllowedNanos = nowNanos;
    }
}
