package org.heatherreach.coordination.slot;

import java.util.Objects;

import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.rank.Rank;

/**
 * Decides whether a request that finds no free slot may queue.
 *
 * <p>Invariants: no request queues beyond the limit of its rank, nor if its expected wait exceeds its deadline; a queue
 * that forms starts with the wait that the slots of its rank and the time of service give. Confined to the thread of
 * its pool.
 */
final class QueueAdmission {
    private final RankQueues queues;
    private final PoolSlots slots;
    private final SlotRefusals refusals;

    QueueAdmission(RankQueues queues, PoolSlots slots, SlotRefusals refusals) {
        this.queues = Objects.requireNonNull(queues, "queues");
        this.slots = Objects.requireNonNull(slots, "slots");
        this.refusals = Objects.requireNonNull(refusals, "refusals");
    }

    /** Returns the refusal of a request that must not queue; null if it may. */
    SlotAction refusalOf(SlotRequest request, int queueLimit, long nowNanos) {
        RankQueue queue = queues.of(request.rank());
        if (queue.size() >= queueLimit) {
            return refusals.refuse(request.id(), RefusalReason.QUEUE_FULL, queue.expectedWaitNanos(nowNanos));
        }
        beginBacklogIfEmpty(request.rank(), nowNanos);
        long waitNanos = queue.expectedWaitOfDeadlineNanos(request.deadlineNanos(), nowNanos);
        return nowNanos + waitNanos - request.deadlineNanos() > 0
                ? refusals.refuse(request.id(), RefusalReason.DEADLINE_UNREACHABLE, waitNanos)
                : null;
    }

    /** Starts the estimate of the wait if the queue of a rank is empty. Returns whether it is. */
    boolean beginBacklogIfEmpty(Rank rank, long nowNanos) {
        RankQueue queue = queues.of(rank);
        if (!queue.isEmpty()) {
            return false;
        }
        queue.beginBacklog(refusals.meanServiceNanos() / Math.max(1, slots.available(rank)), nowNanos);
        return true;
    }
}
