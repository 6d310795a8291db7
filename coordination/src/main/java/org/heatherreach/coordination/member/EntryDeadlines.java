package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.IncarnationId;

/**
 * Member entries in the order of their deadlines, so that a tick examines only those that are due.
 *
 * <p>Invariant: an entry is added with a deadline that is not before any deadline in the collection. Confined to the
 * thread of its list.
 */
final class EntryDeadlines {
    private final Map<IncarnationId, MemberEntry> entries = new LinkedHashMap<>();

    /** Adds an entry or, if it is present, replaces its deadline. */
    void add(MemberEntry entry, long deadlineNanos) {
        remove(entry);
        entry.deadlineNanos = deadlineNanos;
        entries.put(entry.member.incarnation(), entry);
    }

    void remove(MemberEntry entry) {
        entries.remove(entry.member.incarnation());
    }

    boolean contains(MemberEntry entry) {
        return entries.containsKey(entry.member.incarnation());
    }

    /** Moves all deadlines. */
    void postpone(long delayNanos) {
        for (MemberEntry entry : entries.values()) {
            entry.deadlineNanos += delayNanos;
        }
    }

    /** Removes the entries whose deadline has passed and returns them. */
    List<MemberEntry> removeDue(long nowNanos) {
        if (entries.isEmpty()) {
            return List.of();
        }
        List<MemberEntry> due = new ArrayList<>();
        Iterator<MemberEntry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            MemberEntry entry = iterator.next();
            if (nowNanos - entry.deadlineNanos < 0) {
                break;
            }
            iterator.remove();
            due.add(entry);
        }
        return due;
    }
}
