package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.heatherreach.state.id.IncarnationId;

/**
 * The entries of the other members, with their index by address and their deadlines.
 *
 * <p>Invariants: exactly the reachable members are ping targets; every member that is dead or has left has a deadline
 * for the removal of its entry; only reachable members are suspects; no operation but reading all reachable members
 * depends on the number of members, apart from a logarithmic lookup. Confined to the thread of its list.
 */
final class MemberTable {
    private final MemberSettings settings;
    private final PingTargets pingTargets;
    private final TreeMap<IncarnationId, MemberEntry> entries = new TreeMap<>();
    private final Map<MemberAddress, MemberEntry> byAddress = new HashMap<>();
    private final EntryDeadlines suspects = new EntryDeadlines();

    /** The members that are dead or have left; their entries are removed at the deadline. */
    private final EntryDeadlines deadMembers = new EntryDeadlines();

    MemberTable(MemberSettings settings, PingTargets pingTargets) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.pingTargets = Objects.requireNonNull(pingTargets, "pingTargets");
    }

    /** Finds the entry of a member in any state; null if there is none. */
    MemberEntry find(IncarnationId incarnation) {
        return entries.get(incarnation);
    }

    /** Finds the reachable member that uses an address; null if there is none. */
    MemberEntry findByAddress(MemberAddress address) {
        return byAddress.get(address);
    }

    /** Records that an address is used by the given member and by no other any more. */
    void assignAddress(MemberAddress address, MemberEntry entry) {
        byAddress.put(address, entry);
    }

    /** Returns the entries from the given incarnation on, in ascending order. */
    Collection<MemberEntry> entriesFrom(IncarnationId first) {
        return entries.tailMap(first, true).values();
    }

    /** Returns a new list of the reachable members in ascending order of incarnations. */
    List<Member> reachableMembers() {
        List<Member> members = new ArrayList<>(pingTargets.size() + 1);
        for (MemberEntry entry : entries.values()) {
            if (entry.member.state().isReachable()) {
                members.add(entry.member);
            }
        }
        return members;
    }

    /** Adds the entry of a member that the table doesn't contain. */
    MemberEntry add(Member member, long nowNanos) {
        MemberEntry entry = new MemberEntry(member, nowNanos);
        entries.put(member.incarnation(), entry);
        if (member.state().isReachable()) {
            addReachable(entry);
            startSuspicionTimer(entry, nowNanos);
        } else {
            scheduleRemoval(entry, nowNanos);
        }
        return entry;
    }

    /** Replaces what is known about a member, but keeps the larger table version. */
    void update(MemberEntry entry, Member update, long nowNanos) {
        Member previous = entry.member;
        entry.member = update.withTableVersion(Math.max(update.tableVersion(), previous.tableVersion()));
        suspects.remove(entry);
        if (update.state().isReachable()) {
            if (!previous.state().isReachable()) {
                deadMembers.remove(entry);
                addReachable(entry);
            }
            startSuspicionTimer(entry, nowNanos);
        } else {
            if (previous.state().isReachable()) {
                removeReachable(entry);
            }
            scheduleRemoval(entry, nowNanos);
        }
    }

    /** Suspects a member without a change of its state; a suspicion that is already held keeps its deadline. */
    void suspectSilently(MemberEntry entry, long nowNanos) {
        if (!suspects.contains(entry)) {
            suspects.add(entry, nowNanos + settings.suspicionNanos());
        }
    }

    /** Moves the deadlines of all suspicions. */
    void postponeSuspicions(long delayNanos) {
        suspects.postpone(delayNanos);
    }

    /** Ends the suspicions that were not refuted in time and returns their members. */
    List<MemberEntry> removeExpiredSuspects(long nowNanos) {
        return suspects.removeDue(nowNanos);
    }

    /** Removes the entries of members that have been dead or gone long enough. */
    void removeExpiredEntries(long nowNanos) {
        for (MemberEntry entry : deadMembers.removeDue(nowNanos)) {
            entries.remove(entry.member.incarnation());
        }
    }

    private void startSuspicionTimer(MemberEntry entry, long nowNanos) {
        if (entry.member.state() == MemberState.SUSPECT) {
            suspects.add(entry, nowNanos + settings.suspicionNanos());
        }
    }

    private void scheduleRemoval(MemberEntry entry, long nowNanos) {
        deadMembers.add(entry, nowNanos + settings.forgetNanos());
    }

    private void addReachable(MemberEntry entry) {
        pingTargets.add(entry);
        byAddress.put(entry.member.address(), entry);
    }

    private void removeReachable(MemberEntry entry) {
        pingTargets.remove(entry);
        byAddress.remove(entry.member.address(), entry);
    }
}
