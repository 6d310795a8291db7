package org.heatherreach.coordination.slot;

import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RetryReason;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Decides at one daemon when and on which server the requests of one service part run. Every submitted request gets
 * exactly one {@link SlotAction.Dispatch} or {@link SlotAction.Refuse}, unless it is cancelled first.
 * Implementations are confined to one thread.
 */
public interface SlotPool {
    /**
     * Dispatches, queues or refuses a new request.
     *
     * @throws IllegalArgumentException if a request with the same id is outstanding
     */
    List<SlotAction> submit(SlotRequest request, long nowNanos);

    /** Frees the slot of a request whose response is complete or lost. An unknown id has no effect. */
    List<SlotAction> complete(RequestId request, long nowNanos);

    /** Removes a queued or running request whose caller has disconnected. An unknown id has no effect. */
    List<SlotAction> cancel(RequestId request, long nowNanos);

    /**
     * Frees the slot of a dispatched request that may be repeated, and dispatches or queues it again for a server that
     * was not yet tried. The request is refused if the retry budget is exhausted or there is no such server.
     */
    List<SlotAction> retry(RequestId request, RetryReason reason, long nowNanos);

    /** Applies a grant. A grant that is out of date or comes from a daemon other than the current owner is ignored. */
    List<SlotAction> onGrant(IncarnationId sender, SlotGrant grant, long nowNanos);

    /** Applies a recall, under the same conditions as a grant. */
    List<SlotAction> onRecall(IncarnationId sender, SlotRecall recall, long nowNanos);

    /** Sets the owner of the service part and reports to it. Leases stay valid until they expire. */
    List<SlotAction> onOwner(IncarnationId owner, long nowNanos);

    /** Sets the listed servers that this daemon may connect to and the number of live daemons of the region. */
    List<SlotAction> onServers(List<SlotServer> servers, int liveDaemons, long nowNanos);

    /** Sets the limits of the service and its ranks from the configuration table. */
    List<SlotAction> onLimits(ServiceLimits limits, Map<Rank, RankLimits> rankLimits, long nowNanos);

    /**
     * Performs all work that is due, such as the refusal of expired requests. Call it at {@link #nextDeadlineNanos} or
     * before.
     */
    List<SlotAction> tick(long nowNanos);

    /** Returns the time at which {@link #tick} is due next. */
    long nextDeadlineNanos();
}
