package org.heatherreach.coordination.balance;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * The requests of one service that wait for a server, in the order of a rule.
 *
 * <p>Invariant: a request is found by its ticket as long as it is in the order.
 *
 * <p>Confined to one duty thread.
 */
final class WaitingRequests {
    /** Requests beyond this number are refused, so that a flood cannot exhaust the memory. */
    private static final int QUEUE_LIMIT = 2000;

    /**
     * Once a request has waited this share of its time limit, requests behind it are refused on arrival, since they
     * would wait in vain.
     */
    private static final double BACKLOG_SHARE = 0.3;

    private final ShareRule rule;
    private final Map<Long, PoolRequest> byTicket = new HashMap<>();
    private final TreeSet<PoolRequest> queue = new TreeSet<>(Comparator.comparingInt(PoolRequest::priority)
            .thenComparingLong(PoolRequest::deadlineNanos)
            .thenComparingLong(PoolRequest::ticket));

    WaitingRequests(ShareRule rule) {
        this.rule = Objects.requireNonNull(rule, "rule");
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Returns whether no further request may wait. */
    boolean isFull() {
        return queue.size() >= QUEUE_LIMIT;
    }

    boolean contains(long ticket) {
        return byTicket.containsKey(ticket);
    }

    void add(PoolRequest request) {
        queue.add(request);
        byTicket.put(request.ticket(), request);
    }

    void remove(PoolRequest request) {
        queue.remove(request);
        byTicket.remove(request.ticket());
    }

    /** Removes the request with a ticket, which was cancelled, and returns whether it waited. */
    boolean cancel(long ticket) {
        PoolRequest request = byTicket.remove(ticket);
        if (request == null) {
            return false;
        }
        queue.remove(request);
        rule.leave(request);
        return true;
    }

    void clear() {
        queue.clear();
        byTicket.clear();
    }

    /** Returns a copy of the requests, the next one to be dispatched first. */
    List<PoolRequest> inOrder() {
        return rule.inOrder(queue);
    }

    /** Returns the requests that are dispatched before the given one, which has arrived but need not wait. */
    Collection<PoolRequest> aheadOf(PoolRequest request) {
        return rule.aheadOf(request, queue);
    }

    /**
     * Returns whether a request of the same or a higher priority has waited so long that the given one, which has just
     * arrived, would not be served in time.
     */
    boolean isBackedUp(PoolRequest request, long nowNanos) {
        for (PoolRequest earlier : rule.backlogOf(request, queue)) {
            double limitNanos = BACKLOG_SHARE * (earlier.deadlineNanos() - earlier.submittedNanos());
            if (earlier.priority() <= request.priority() && nowNanos - earlier.submittedNanos() > limitNanos) {
                return true;
            }
        }
        return false;
    }
}
