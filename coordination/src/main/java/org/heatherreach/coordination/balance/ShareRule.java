package org.heatherreach.coordination.balance;

import java.util.Collection;
import java.util.List;
import java.util.SortedSet;

import io.vavr.control.Option;
import org.heatherreach.state.id.WorkspaceId;

/**
 * The order in which the waiting requests of one pool get servers. Is told of each request from its arrival to its end.
 * Confined to one duty thread.
 */
interface ShareRule {
    /** The order by priority and deadline alone. */
    ShareRule BY_DEADLINE = new ShareRule() {
        @Override
        public List<PoolRequest> inOrder(SortedSet<PoolRequest> queue) {
            return List.copyOf(queue);
        }

        @Override
        public Collection<PoolRequest> aheadOf(PoolRequest request, SortedSet<PoolRequest> queue) {
            return queue.headSet(request);
        }
    };

    /** Records that a request arrived, before any other call for it. */
    default void enter(PoolRequest request, Option<WorkspaceId> workspace, long nowNanos) {}

    /** Records that a request was sent to a server. */
    default DispatchOrder dispatch(PoolRequest request) {
        return DispatchOrder.USUAL;
    }

    /** Records that a request that was sent to a server ended. */
    default void end(PoolRequest request, PoolResult result) {}

    /** Records that a request was refused for lack of capacity. */
    default void refuse(PoolRequest request) {}

    /** Records that a request that was not sent to a server ended for another reason. */
    default void leave(PoolRequest request) {}

    /**
     * Returns a copy of the waiting requests, the next one to be dispatched first.
     *
     * @param queue the waiting requests by priority and deadline
     */
    List<PoolRequest> inOrder(SortedSet<PoolRequest> queue);

    /**
     * Returns the requests that are dispatched before the given one.
     *
     * @param request a request that has arrived and was not dispatched; it need not wait
     * @param queue the waiting requests by priority and deadline
     */
    Collection<PoolRequest> aheadOf(PoolRequest request, SortedSet<PoolRequest> queue);

    /**
     * Returns the requests whose long waits show that the given one would wait in vain, if they are of its priority or more
     * urgent.
     *
     * @param request a request that has arrived and does not wait
     * @param queue the waiting requests by priority and deadline
     */
    default Collection<PoolRequest> backlogOf(PoolRequest request, SortedSet<PoolRequest> queue) {
        return queue;
    }

    /** Returns the counts of the decisions on shares. */
    default ShareCounts counts() {
        return ShareCounts.NONE;
    }
}
