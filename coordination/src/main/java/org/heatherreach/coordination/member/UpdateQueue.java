package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.IncarnationId;

/**
 * Updates that still have to be spread, newest per incarnation. An update is dropped after a number of sends that
 * grows with the logarithm of the fleet. Confined to one thread.
 */
final class UpdateQueue {
    /** Bounds memory when a whole zone fails; the periodic repair spreads what is dropped. */
    private static final int CAPACITY = 1_024;

    private final Map<IncarnationId, Pending> pending = new LinkedHashMap<>();
    private long droppedUpdates;

    /** Adds an update, which replaces an older one of the same incarnation. */
    void add(Member update, int sends) {
        pending.remove(update.incarnation());
        if (pending.size() >= CAPACITY) {
            Iterator<Pending> oldest = pending.values().iterator();
            oldest.next();
            oldest.remove();
            droppedUpdates++;
        }
        pending.put(update.incarnation(), new Pending(update, sends));
    }

    /** Takes updates that fit into the given length, in round-robin order. */
    List<Member> take(int limit, int limitBytes) {
        if (pending.isEmpty()) {
            return List.of();
        }
        List<Pending> taken = new ArrayList<>(Math.min(limit, pending.size()));
        int bytes = 0;
        Iterator<Pending> items = pending.values().iterator();
        while (items.hasNext() && taken.size() < limit) {
            Pending item = items.next();
            if (bytes + item.sizeBytes > limitBytes) {
                break;
            }
            bytes += item.sizeBytes;
            taken.add(item);
            items.remove();
        }
        List<Member> updates = new ArrayList<>(taken.size());
        for (Pending item : taken) {
            updates.add(item.update);
            if (--item.remainingSends > 0) {
                pending.put(item.update.incarnation(), item);
            }
        }
        return updates;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    long droppedUpdates() {
        return droppedUpdates;
    }

    private static final class Pending {
        private final Member update;
        private final int sizeBytes;
        private int remainingSends;

        Pending(Member update, int sends) {
            this.update = update;
            this.sizeBytes = EncodedSize.ofMessage(update.encodedSizeBytes());
            this.remainingSends = sends;
        }
    }
}
