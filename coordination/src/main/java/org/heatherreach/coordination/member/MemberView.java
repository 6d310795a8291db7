package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.heatherreach.state.id.IncarnationId;

/**
 * A snapshot of the reachable members in ascending order of incarnations. Immutable and safe for use by any thread.
 */
public final class MemberView {
    private final List<Member> reachable;
    private final List<Member> live;
    private final Map<IncarnationId, Member> byIncarnation;

    /** Creates a view of those given members that are reachable. */
    public MemberView(Collection<Member> members) {
        List<Member> sorted = new ArrayList<>(members.size());
        for (Member member : members) {
            if (member.state().isReachable()) {
                sorted.add(member);
            }
        }
        sorted.sort((a, b) -> a.incarnation().compareTo(b.incarnation()));
        reachable = List.copyOf(sorted);
        live = sorted.stream().filter(member -> member.state().isLive()).toList();
        byIncarnation = new HashMap<>(reachable.size() * 2);
        reachable.forEach(member -> byIncarnation.put(member.incarnation(), member));
    }

    /** Returns the members that receive messages, including those that are leaving. */
    public List<Member> reachable() {
        return reachable;
    }

    /** Returns the members that accept new work and are listed in address answers. */
    public List<Member> live() {
        return live;
    }

    /** Finds a reachable member. */
    public Optional<Member> find(IncarnationId incarnation) {
        return Optional.ofNullable(byIncarnation.get(incarnation));
    }

    /** Returns whether a member is reachable. */
    public boolean contains(IncarnationId incarnation) {
        return byIncarnation.containsKey(incarnation);
    }
}
