package org.heatherreach.coordination.member;

/** What a {@link MemberList} keeps of another daemon. Confined to the thread of its list. */
final class MemberEntry {
    Member member;
    /** The end of the suspicion of a suspect, or of the memory of a dead member. */
    long deadlineNanos;

    long suspicionNoticeAllowedNanos;
    /** The position in the {@link PingRing}; negative while the member is not in it. */
    int index = -1;

    MemberEntry(Member member, long nowNanos) {
        this.member = member;
        this.suspicionNoticeAllowedNanos = nowNanos;
    }
}
