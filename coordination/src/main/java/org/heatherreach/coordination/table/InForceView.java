package org.heatherreach.coordination.table;

import java.util.List;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;

/**
 * Which daemons have a version in force, as far as one reader of the table knows. Immutable and safe for use by any
 * thread.
 *
 * @param version the version
 * @param missing reachable members that have not reported the version or a larger one
 * @param silent addresses of daemon VMs that are listed as live but have no known reachable member
 */
public record InForceView(long version, List<Member> missing, List<MemberAddress> silent) {
    /** Creates a view. */
    public InForceView {
        missing = List.copyOf(missing);
        silent = List.copyOf(silent);
    }

    /** Returns whether the version is in force everywhere. */
    public boolean isEverywhere() {
        return missing.isEmpty() && silent.isEmpty();
    }
}
