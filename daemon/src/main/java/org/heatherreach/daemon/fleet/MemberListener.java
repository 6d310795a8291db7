package org.heatherreach.daemon.fleet;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberView;

/** Listens to changes of the member list. Called on the member duty, so implementations pass them to their own ring. */
@FunctionalInterface
public interface MemberListener {
    /**
     * Called after the state of a member changed.
     *
     * @param member the member with its new state
     * @param view the reachable members after the change
     */
    void onMemberChanged(Member member, MemberView view);
}
