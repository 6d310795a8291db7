package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.heatherreach.state.rank.Rank;

/**
 * The queues of a pool, one for each rank, and the order in which the ranks are served.
 *
 * <p>Invariant: a queued request is in the queue of its rank only. Confined to the thread of its pool.
 */
final class RankQueues {
    private static final Rank[] RANKS = Rank.values();

    private final Map<Rank, RankQueue> queues = new EnumMap<>(Rank.class);

    RankQueues() {
        for (Rank rank : RANKS) {
            queues.put(rank, new RankQueue());
        }
    }

    RankQueue of(Rank rank) {
        return queues.get(rank);
    }

    /** Returns all queues, that of the most urgent rank first. */
    Iterable<RankQueue> all() {
        return queues.values();
    }

    void remove(OutstandingRequest outstanding, long nowNanos) {
        of(outstanding.request.rank()).remove(outstanding, nowNanos);
    }

    /**
     * Returns the rank to serve next among those with queued requests that may run: the most urgent one, or on the
     * local share the one that is furthest below its guarantee; null if there is none.
     *
     * @param blocked the ranks to skip, since none of their queued requests can be dispatched now
     */
    Rank next(Set<Rank> blocked, PoolSlots slots) {
        Rank best = null;
        for (Rank rank : RANKS) {
            if (!blocked.contains(rank)
                    && !of(rank).isEmpty()
                    && slots.mayRun(rank)
                    && (best == null || slots.isServedBefore(rank, best))) {
                best = rank;
            }
        }
        return best;
    }

    /** Returns the earliest deadline of a queued request, or the limit if none is earlier. */
    long earliestDeadlineNanos(long limitNanos) {
        long earliestNanos = limitNanos;
        for (RankQueue queue : queues.values()) {
            if (!queue.isEmpty()) {
                long deadlineNanos = queue.first().request.deadlineNanos();
                earliestNanos = deadlineNanos - earliestNanos < 0 ? deadlineNanos : earliestNanos;
            }
        }
        return earliestNanos;
    }

    /** Returns the demand of each rank for a report. */
    List<RankDemand> demand(RunningCounts running, ArrivalRates arrivalRates) {
        List<RankDemand> demand = new ArrayList<>(RANKS.length);
        for (Rank rank : RANKS) {
            demand.add(new RankDemand(rank, of(rank).size(), running.of(rank), arrivalRates.ratePerSecond(rank)));
        }
        return demand;
    }
}
