package org.heatherreach.coordination.slot;

import java.util.Objects;
import java.util.Set;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.rank.Rank;

/**
 * The slots that the requests of a pool run on: leased ones, or those of the local share while no owner answers.
 *
 * <p>Invariants: a running request uses exactly one slot; no slot is chosen on an expired lease; a rank may run no more
 * requests than its cap, or than its part of the local share. Confined to the thread of its pool.
 */
final class PoolSlots {
    private final LeasedServers servers;
    private final Leases leases;
    private final LocalShare localShare;
    private final RunningCounts running;

    PoolSlots(LeasedServers servers, Leases leases, LocalShare localShare, RunningCounts running) {
        this.servers = Objects.requireNonNull(servers, "servers");
        this.leases = Objects.requireNonNull(leases, "leases");
        this.localShare = Objects.requireNonNull(localShare, "localShare");
        this.running = Objects.requireNonNull(running, "running");
    }

    /** Returns whether the local share is in use because no owner answers. */
    boolean usesLocalShare() {
        return leases.isExpired();
    }

    /** Returns whether the leases have not expired; also true during the wait for the first grant. */
    boolean hasValidLeases(long nowNanos) {
        return !usesLocalShare() && !leases.isPastDeadline(nowNanos);
    }

    /** Returns how many slots of a server are leased; zero if the leases have expired. */
    int leasedOf(ServerId server, long nowNanos) {
        LeasedServer leasedServer = servers.find(server);
        return leasedServer == null || leases.isPastDeadline(nowNanos) ? 0 : leasedServer.held;
    }

    /** Returns how many requests run on a server. */
    int inUseOf(ServerId server) {
        LeasedServer leasedServer = servers.find(server);
        return leasedServer == null ? 0 : leasedServer.inUse;
    }

    boolean mayRun(Rank rank) {
        return usesLocalShare() ? localShare.mayRun(rank) : running.of(rank) < leases.cap(rank);
    }

    boolean hasFree(long nowNanos) {
        return usesLocalShare() ? localShare.hasFreeSlot() : !leases.isPastDeadline(nowNanos) && servers.hasIdleSlot();
    }

    /** Returns how many slots a rank may use at present, whether or not they are free. */
    int available(Rank rank) {
        return usesLocalShare() ? localShare.slotsOf(rank) : Math.min(leases.cap(rank), servers.heldSlots());
    }

    /** Returns whether a rank is served before a more urgent one, as on the local share. */
    boolean isServedBefore(Rank rank, Rank moreUrgent) {
        return usesLocalShare() && localShare.isBehind(rank, moreUrgent);
    }

    /**
     * Returns a server with a free slot for a request; null if there is none.
     *
     * @param tried the servers to leave out; null if there are none
     */
    LeasedServer choose(SlotRequest request, Set<ServerId> tried, long nowNanos) {
        if (usesLocalShare()) {
            return servers.chooseOnLocalShare(request, tried);
        }
        return leases.isPastDeadline(nowNanos) ? null : servers.chooseLeased(request, tried);
    }

    /** Takes a slot of a server for a request. */
    void take(OutstandingRequest outstanding, LeasedServer server, long nowNanos) {
        outstanding.server = server;
        outstanding.dispatchedNanos = nowNanos;
        server.inUse++;
        running.increment(outstanding.request.rank());
    }

    /** Records that a queued request of a rank was dispatched. */
    void recordQueuedDispatch(Rank rank) {
        if (usesLocalShare()) {
            localShare.recordDispatch(rank);
        }
    }

    /** Releases the slot of a request. Returns whether the slot was no longer leased, so that the owner waits for it. */
    boolean release(OutstandingRequest outstanding) {
        LeasedServer server = outstanding.server;
        server.inUse--;
        running.decrement(outstanding.request.rank());
        outstanding.server = null;
        return !usesLocalShare() && server.inUse >= server.held;
    }

    /** Returns whether the last idle leased slot is in use although the owner wants the pool to keep some. */
    boolean lacksIdle() {
        return !usesLocalShare() && leases.idleTarget() > 0 && servers.idleSlots() == 0;
    }

    /** Gives idle slots above the idle target back to the owner. Returns whether there were any. */
    boolean returnIdle() {
        return !usesLocalShare() && servers.returnIdleSlots(servers.idleSlots() - leases.idleTarget());
    }
}
