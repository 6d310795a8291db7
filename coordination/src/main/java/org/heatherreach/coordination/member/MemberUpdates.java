package org.heatherreach.coordination.member;

import java.util.List;
import java.util.Objects;

/**
 * State machine of the members: applies updates of other daemons, suspicions and deaths to the table, passes on what is
 * new, and keeps the view of the members.
 *
 * <p>Invariants: an incarnation that announced {@code LEAVING} never becomes live again; {@code LEFT} is final; an update
 * that doesn't supersede what is known changes nothing; each change of the state of a member is reported once. Confined
 * to one thread.
 */
final class MemberUpdates {
    private final LocalMember local;
    private final MemberTable table;
    private final UpdateGossip gossip;
    private final FailureDetector detector;
    private final FullSync fullSync;

    private MemberView view;
    private long deathsDeclared;

    /**
     * Creates an instance.
     *
     * @param local this daemon, which refutes updates that it is suspected or dead
     * @param table the other members
     * @param gossip passes on updates
     * @param detector pings the members that are not known to be gone
     * @param fullSync counts the members that are new
     */
    MemberUpdates(
            LocalMember local, MemberTable table, UpdateGossip gossip, FailureDetector detector, FullSync fullSync) {
        this.local = Objects.requireNonNull(local, "local");
        this.table = Objects.requireNonNull(table, "table");
        this.gossip = Objects.requireNonNull(gossip, "gossip");
        this.detector = Objects.requireNonNull(detector, "detector");
        this.fullSync = Objects.requireNonNull(fullSync, "fullSync");
    }

    /** Returns the members, including this daemon; the same instance until a member changes its state. */
    MemberView view() {
        if (view == null) {
            // The members are already in the order of the view, which makes its sort cheap.
            List<Member> members = table.reachableMembers();
            members.add(local.member());
            view = new MemberView(members);
        }
        return view;
    }

    /** Returns how many members this daemon itself declared dead. */
    long deathsDeclared() {
        return deathsDeclared;
    }

    /** Announces that this daemon is leaving or has left. */
    void announce(MemberState state) {
        local.announce(state);
        view = null;
        gossip.enqueue(local.member());
    }

    /**
     * Merges an update into the list.
     *
     * @param gossiped whether the update was gossiped, so that it is passed on; false for an entry of a page
     */
    void merge(Member update, boolean gossiped, long nowNanos, List<MemberAction> actions) {
        if (local.isSameIncarnation(update)) {
            if (local.refute(update)) {
                gossip.enqueue(local.member());
            }
            return;
        }
        MemberEntry entry = table.find(update.incarnation());
        if (entry == null) {
            add(update, gossiped, nowNanos, actions);
            return;
        }
        Member previous = entry.member;
        if (!update.supersedes(previous)) {
            return;
        }
        if (previous.state() == MemberState.LEAVING && update.state().isLive()) {
            // The counter is larger because the member was paused before its announcement was received. The member is
            // still leaving.
            return;
        }
        apply(entry, update, gossiped, nowNanos, actions);
        if (gossiped) {
            gossip.enqueue(update);
        }
    }

    private void add(Member update, boolean gossiped, long nowNanos, List<MemberAction> actions) {
        table.add(update, nowNanos);
        if (!update.state().isReachable()) {
            // The death or departure of an unknown member is recorded but not gossiped. Otherwise daemons, which
            // remove such entries at different times, would send it to each other forever.
            return;
        }
        reportChange(update, null, actions);
        fullSync.countNewMember(update, gossiped, nowNanos);
        if (gossiped) {
            gossip.enqueue(update);
        }
    }

    private void apply(MemberEntry entry, Member update, boolean gossiped, long nowNanos, List<MemberAction> actions) {
        MemberState previous = entry.member.state();
        table.update(entry, update, nowNanos);
        if (!update.state().isReachable()) {
            detector.cancelProbe(entry);
        } else if (!previous.isReachable()) {
            fullSync.countNewMember(update, gossiped, nowNanos);
        }
        if (previous != update.state()) {
            reportChange(entry.member, previous, actions);
        }
    }

    private void reportChange(Member member, MemberState previous, List<MemberAction> actions) {
        view = null;
        actions.add(new MemberAction.ChangeMember(member, previous));
    }

    /** Suspects a member that did not acknowledge its pings. */
    void suspect(MemberEntry entry, long nowNanos, List<MemberAction> actions) {
        if (entry.member.state() == MemberState.ALIVE) {
            Member update = entry.member.with(MemberState.SUSPECT, entry.member.counter());
            apply(entry, update, true, nowNanos, actions);
            gossip.enqueue(update);
        } else if (entry.member.state() == MemberState.LEAVING) {
            // The suspicion is not gossiped: the update would hide that the member is leaving.
            table.suspectSilently(entry, nowNanos);
        }
    }

    /** Declares a member dead. */
    void declareDead(MemberEntry entry, long nowNanos, List<MemberAction> actions) {
        Member update = entry.member.with(MemberState.DEAD, entry.member.counter());
        apply(entry, update, true, nowNanos, actions);
        gossip.enqueue(update);
        deathsDeclared++;
    }
}
