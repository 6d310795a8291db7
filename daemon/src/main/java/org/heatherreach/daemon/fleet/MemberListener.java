package org.heatherreach.daemon.fleet;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberView;

/** Learns of changes of the member list. Called on the member duty, so implementations hand over to their own ring. */
@FunctionalInterface
public interface MemberListener {
    /**
     * Takes a change.
     *
     * @param member the member with its new state
     * @param view the reachable members after the change
     */
    void changeMember(Member member, MemberView view);
}
