package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.IncarnationId;

/**
 * Updates that still have to be spread, newest per incarnation, the most urgent kind first. An update is dropped after
 * a number of sends that grows with the logarithm of the fleet. Confined to one thread.
 */
final class UpdateQueue {
    /** Bounds memory when a whole zone fails; the periodic repair spreads what is dropped. */
    private static final int CAPACITY = 1_024;

    private static final int URGENCIES = 4;

    /** One queue per urgency; equally urgent updates take turns. */
    private final List<Map<IncarnationId, Pending>> pending = new ArrayList<>(URGENCIES);

    private int size;
    private long droppedUpdates;

    UpdateQueue() {
        for (int i = 0; i < URGENCIES; i++) {
            pending.add(new LinkedHashMap<>());
        }
    }

    /** Adds an update, which replaces an older one of the same incarnation. */
    void add(Member update, int sends) {
        for (Map<IncarnationId, Pending> items : pending) {
            if (items.remove(update.incarnation()) != null) {
                size--;
            }
        }
        if (size >= CAPACITY) {
            dropLeastUrgent();
        }
        pending.get(urgency(update)).put(update.incarnation(), new Pending(update, sends));
        size++;
    }

    /** Takes updates that fit into the given length, each urgency in round-robin order. */
    List<Member> take(int limit, int limitBytes) {
        if (size == 0) {
            return List.of();
        }
        List<Pending> taken = new ArrayList<>(Math.min(limit, size));
        int bytes = 0;
        for (Map<IncarnationId, Pending> items : pending) {
            Iterator<Pending> queued = items.values().iterator();
            while (queued.hasNext() && taken.size() < limit) {
                Pending item = queued.next();
                if (bytes + item.sizeBytes > limitBytes) {
                    break;
                }
                bytes += item.sizeBytes;
                taken.add(item);
                queued.remove();
            }
        }
        size -= taken.size();
        List<Member> updates = new ArrayList<>(taken.size());
        for (Pending item : taken) {
            updates.add(item.update);
            if (--item.remainingSends > 0) {
                pending.get(urgency(item.update)).put(item.update.incarnation(), item);
                size++;
            }
        }
        return updates;
    }

    /**
     * Returns 0 for the most urgent updates. Hundreds of joins or deaths may be waiting after a cold start or the loss
     * of a zone: a daemon that leaves has 10 s until its callers' answers expire, and a suspect has the suspicion time
     * to learn of the suspicion and to refute it at every member.
     */
    private static int urgency(Member update) {
        return switch (update.state()) {
            case LEAVING, LEFT -> 0;
            case SUSPECT -> 1;
            case ALIVE -> update.counter() > 0 ? 1 : 3;
            case DEAD -> 2;
        };
    }

    private void dropLeastUrgent() {
        for (int i = URGENCIES - 1; i >= 0; i--) {
            Iterator<Pending> oldest = pending.get(i).values().iterator();
            if (oldest.hasNext()) {
                oldest.next();
                oldest.remove();
                size--;
                droppedUpdates++;
                return;
            }
        }
    }

    boolean isEmpty() {
        return size == 0;
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
