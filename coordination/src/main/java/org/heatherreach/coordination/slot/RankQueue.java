package org.heatherreach.coordination.slot;

import java.util.Collection;

import org.heatherreach.coordination.admission.DeadlineQueue;
import org.heatherreach.coordination.admission.WaitEstimator;

/**
 * The queued requests of one rank and the estimate of their wait.
 *
 * <p>Invariant: the requests are ordered by deadline and then by arrival. Confined to the thread of its pool.
 */
final class RankQueue {
    private final DeadlineQueue<OutstandingRequest> queue = new DeadlineQueue<>();
    private final WaitEstimator waitEstimator = new WaitEstimator();

    boolean isEmpty() {
        return queue.isEmpty();
    }

    int size() {
        return queue.size();
    }

    /** Returns the request with the earliest deadline, or null if the queue is empty. */
    OutstandingRequest first() {
        return queue.first();
    }

    /** Returns a read-only view of the requests in the order of the queue. */
    Collection<OutstandingRequest> requests() {
        return queue.elements();
    }

    boolean hasExpired(long nowNanos) {
        return !queue.isEmpty() && queue.first().isPastDeadline(nowNanos);
    }

    /** Records that the queue, which is empty, is about to form. */
    void beginBacklog(double expectedIntervalNanos, long nowNanos) {
        waitEstimator.beginBacklog(expectedIntervalNanos, nowNanos);
    }

    void add(OutstandingRequest outstanding) {
        outstanding.queueKey = queue.add(outstanding, outstanding.request.deadlineNanos());
    }

    void remove(OutstandingRequest outstanding, long nowNanos) {
        queue.remove(outstanding.queueKey);
        outstanding.queueKey = null;
        if (queue.isEmpty()) {
            waitEstimator.endBacklog(nowNanos);
        }
    }

    /** Removes a request that is dispatched, which improves the estimate. */
    void removeForDispatch(OutstandingRequest outstanding, long nowNanos) {
        waitEstimator.recordDispatch(nowNanos);
        remove(outstanding, nowNanos);
    }

    /** Returns the expected wait behind all queued requests. */
    long expectedWaitNanos(long nowNanos) {
        return waitEstimator.expectedWaitNanos(queue.size(), nowNanos);
    }

    /** Returns the expected wait of a request with the given deadline. */
    long expectedWaitOfDeadlineNanos(long deadlineNanos, long nowNanos) {
        return waitEstimator.expectedWaitNanos(queue.estimateAheadOf(deadlineNanos), nowNanos);
    }
}
