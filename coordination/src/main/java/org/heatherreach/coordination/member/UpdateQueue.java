package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.IncarnationId;

/**
 * The updates that still have to be gossiped: the newest update of each incarnation, ordered by urgency. An update is
 * removed after it was sent the given number of times, which grows with the logarithm of the fleet size. Confined to
 * one thread.
 */
final class UpdateQueue {
    /** Bounds memory if a whole zone fails; periodic page requests repair the updates that are dropped. */
    private static final int CAPACITY = 1_024;

    private static final int URGENCIES = 4;

    /** One round-robin queue per urgency, the most urgent first. */
    private final List<Map<IncarnationId, Pending>> pending = new ArrayList<>(URGENCIES);

    private int size;
    private long droppedUpdates;

    UpdateQueue() {
        for (int i = 0; i < URGENCIES; i++) {
            pending.add(new LinkedHashMap<>());
        }
    }

    /** Adds an update, which replaces an older one about the same incarnation. */
    void add(Member update, int sendCount) {
        for (Map<IncarnationId, Pending> queue : pending) {
            if (queue.remove(update.incarnation()) != null) {
                size--;
            }
        }
        if (size >= CAPACITY) {
            dropLeastUrgent();
        }
        pending.get(urgency(update)).put(update.incarnation(), new Pending(update, sendCount));
        size++;
    }

    /**
     * Takes updates that fit into the given length, the most urgent first and equally urgent ones in round-robin order.
     */
    List<Member> take(int limit, int limitBytes) {
        if (size == 0) {
            return List.of();
        }
        List<Pending> taken = new ArrayList<>(Math.min(limit, size));
        int bytes = 0;
        for (Map<IncarnationId, Pending> queue : pending) {
            Iterator<Pending> queued = queue.values().iterator();
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
     * Returns the urgency, 0 for the most urgent updates. After a cold start or the loss of a zone, hundreds of joins
     * or deaths may be queued. The update of a leaving daemon must not wait behind them, because the address answers
     * that name the daemon expire after 10 s. A suspicion and its refutation must not wait either: within the suspicion
     * time, the suspect has to receive the suspicion and the refutation has to reach every member. An alive member with
     * a counter above zero may be refuting a suspicion; with counter zero it has joined.
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

        Pending(Member update, int sendCount) {
            this.update = update;
            this.sizeBytes = EncodedSize.ofMessage(update.encodedSizeBytes());
            this.remainingSends = sendCount;
        }
    }
}
