package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.admission.RetryBudget;
import org.heatherreach.coordination.admission.RetryHint;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.outcome.RetryReason;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Pool that dispatches requests on slots leased from the owner of the service part. While no owner answers, it uses a
 * local share instead, the usable slots divided by the number of live daemons.
 *
 * <p>Invariants: every tracked request is either queued or running; the running requests of a rank exceed its cap only
 * if the cap was lowered while they ran; no request is dispatched on an expired lease. Confined to one thread.
 */
public final class LeasedSlotPool implements SlotPool {
    /** Interval of regular reports. */
    public static final long REPORT_INTERVAL_NANOS = 250_000_000L;

    private static final Rank[] RANKS = Rank.values();

    private final int part;
    private final RetryBudget retryBudget;
    private final OutstandingRequests outstandingRequests;
    private final LeasedServers servers;
    private final RankQueues queues = new RankQueues();
    private final RunningCounts running = new RunningCounts();
    private final ArrivalRates arrivalRates;
    private final LocalShare localShare;
    private final ReportSchedule reports;
    private final Leases leases;
    private final PoolSlots slots;
    private final SlotRefusals refusals;
    private final QueueAdmission admission;

    private ServiceLimits limits;
    private Map<Rank, RankLimits> rankLimits;

    /** Creates a pool without leases. */
    public LeasedSlotPool(
            ServiceLimits limits,
            Map<Rank, RankLimits> rankLimits,
            int part,
            ZoneId zone,
            ToIntFunction<WorkspaceId> workspaceLimit,
            RandomGenerator random,
            long nowNanos) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.rankLimits = checkAndCopy(rankLimits);
        this.part = part;
        servers = new LeasedServers(zone, random);
        arrivalRates = new ArrivalRates(nowNanos);
        localShare = new LocalShare(servers, arrivalRates, running, this.rankLimits);
        outstandingRequests = new OutstandingRequests(workspaceLimit);
        refusals = new SlotRefusals(new RetryHint(random));
        retryBudget = new RetryBudget(nowNanos);
        reports = new ReportSchedule(nowNanos);
        leases = new Leases(servers, reports, nowNanos);
        slots = new PoolSlots(servers, leases, localShare, running);
        admission = new QueueAdmission(queues, slots, refusals);
    }

    private static Map<Rank, RankLimits> checkAndCopy(Map<Rank, RankLimits> rankLimits) {
        for (Rank rank : RANKS) {
            Objects.requireNonNull(rankLimits.get(rank), rank.label());
        }
        return new EnumMap<>(rankLimits);
    }

    @Override
    public List<SlotAction> submit(SlotRequest request, long nowNanos) {
        if (outstandingRequests.contains(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is already outstanding");
        }
        Rank rank = request.rank();
        restartGrantTimeoutIfInactive(nowNanos);
        arrivalRates.recordArrival(rank, nowNanos);
        retryBudget.countRequest(nowNanos);
        if (servers.isEmpty()) {
            return List.of(refusals.refuse(request.id(), RefusalReason.NO_SERVER, 0));
        }
        if (outstandingRequests.hasReachedLimit(request.workspace())) {
            return List.of(refusals.refuse(request.id(), RefusalReason.WORKSPACE_LIMIT));
        }
        leases.dropIfExpired(nowNanos);
        if (queues.of(rank).isEmpty() && slots.mayRun(rank)) {
            LeasedServer server = slots.choose(request, null, nowNanos);
            if (server != null) {
                return dispatchAtOnce(request, server, nowNanos);
            }
        }
        return enqueueOrRefuse(request, nowNanos);
    }

    private List<SlotAction> dispatchAtOnce(SlotRequest request, LeasedServer server, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        OutstandingRequest outstanding = new OutstandingRequest(request, nowNanos);
        outstandingRequests.add(outstanding);
        dispatch(outstanding, server, nowNanos, actions);
        // Reports the use of the last idle slot, so that the owner can lease another one before the next request
        // arrives.
        reports.requestIf(slots.lacksIdle());
        reportIfDue(nowNanos, actions);
        return actions;
    }

    private List<SlotAction> enqueueOrRefuse(SlotRequest request, long nowNanos) {
        SlotAction refusal =
                admission.refusalOf(request, rankLimits.get(request.rank()).queueLimit(), nowNanos);
        if (refusal != null) {
            return List.of(refusal);
        }
        RankQueue queue = queues.of(request.rank());
        List<SlotAction> actions = new ArrayList<>(2);
        OutstandingRequest outstanding = new OutstandingRequest(request, nowNanos);
        outstandingRequests.add(outstanding);
        queue.add(outstanding);
        // Reports when a queue forms and each time it doubles, so that a long queue costs few reports.
        reports.requestIf(Integer.bitCount(queue.size()) == 1);
        reportIfDue(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> complete(RequestId request, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        OutstandingRequest outstanding = outstandingRequests.findRunning(request);
        if (outstanding == null) {
            return actions;
        }
        refusals.recordService(nowNanos - outstanding.dispatchedNanos);
        outstandingRequests.remove(outstanding);
        releaseSlot(outstanding);
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> cancel(RequestId request, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        OutstandingRequest outstanding = outstandingRequests.find(request);
        if (outstanding == null) {
            return actions;
        }
        outstandingRequests.remove(outstanding);
        if (outstanding.isRunning()) {
            releaseSlot(outstanding);
            dispatchQueued(nowNanos, actions);
        } else {
            queues.remove(outstanding, nowNanos);
        }
        return actions;
    }

    @Override
    public List<SlotAction> retry(RequestId request, RetryReason reason, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        OutstandingRequest outstanding = outstandingRequests.findRunning(request);
        if (outstanding == null) {
            return actions;
        }
        outstanding.addTriedServer();
        releaseSlot(outstanding);
        if (mayRetry(outstanding, nowNanos)) {
            enqueueRetry(outstanding, nowNanos);
        } else {
            outstandingRequests.remove(outstanding);
            actions.add(refusals.refuse(outstanding.request.id(), SlotRefusals.reasonOf(reason)));
        }
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    private boolean mayRetry(OutstandingRequest outstanding, long nowNanos) {
        return servers.hasUntried(outstanding.tried)
                && !outstanding.isPastDeadline(nowNanos)
                && retryBudget.tryAcquire(nowNanos, limits.retryPercent());
    }

    private void enqueueRetry(OutstandingRequest outstanding, long nowNanos) {
        Rank rank = outstanding.request.rank();
        reports.requestIf(admission.beginBacklogIfEmpty(rank, nowNanos));
        queues.of(rank).add(outstanding);
    }

    @Override
    public List<SlotAction> onGrant(IncarnationId sender, SlotGrant grant, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        if (!reports.isOwner(sender)) {
            return actions;
        }
        leases.apply(grant, nowNanos);
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> onRecall(IncarnationId sender, SlotRecall recall, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        if (!reports.isOwner(sender)) {
            return actions;
        }
        leases.apply(recall, nowNanos);
        reportIfDue(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> onOwner(IncarnationId newOwner, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        if (!reports.isOwner(newOwner)) {
            reports.setOwner(newOwner);
            leases.restartSequence();
            reports.requestIf(isActive());
            reportIfDue(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<SlotAction> onServers(List<SlotServer> listed, int liveDaemons, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>();
        localShare.setLiveDaemons(liveDaemons);
        servers.setListed(listed, limits.slots());
        if (servers.isEmpty()) {
            for (RankQueue queue : queues.all()) {
                while (!queue.isEmpty()) {
                    refuseQueued(queue.first(), RefusalReason.NO_SERVER, nowNanos, actions);
                }
            }
        }
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> onLimits(ServiceLimits newLimits, Map<Rank, RankLimits> newRankLimits, long nowNanos) {
        limits = Objects.requireNonNull(newLimits, "newLimits");
        rankLimits = checkAndCopy(newRankLimits);
        localShare.setRankLimits(rankLimits);
        servers.updateSlots(limits.slots());
        List<SlotAction> actions = new ArrayList<>();
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> tick(long nowNanos) {
        List<SlotAction> actions = new ArrayList<>();
        arrivalRates.decay(nowNanos);
        leases.dropIfExpired(nowNanos);
        for (RankQueue queue : queues.all()) {
            refuseExpired(queue, nowNanos, actions);
        }
        dispatchQueued(nowNanos, actions);
        if (reports.isRegularReportDue(nowNanos)) {
            reports.requestIf(isActive());
            reportIfDue(nowNanos, actions);
            reports.startInterval(nowNanos);
        }
        servers.removeUnused();
        return actions;
    }

    @Override
    public long nextDeadlineNanos() {
        long nextNanos = reports.nextReportNanos();
        return reports.isPending() ? nextNanos : queues.earliestDeadlineNanos(nextNanos);
    }

    /** Returns how many slots of a server are leased; zero if the leases have expired. */
    public int leasedSlotsOf(ServerId server, long nowNanos) {
        return slots.leasedOf(server, nowNanos);
    }

    /** Returns how many requests run on a server. */
    public int inUseOf(ServerId server) {
        return slots.inUseOf(server);
    }

    /** Returns whether the leases of the pool have not expired; also true while it waits for its first grant. */
    public boolean hasValidLeases(long nowNanos) {
        return slots.hasValidLeases(nowNanos);
    }

    /** Returns whether the pool uses its local share because no owner answers. */
    public boolean usesLocalShare() {
        return slots.usesLocalShare();
    }

    private boolean isActive() {
        return arrivalRates.hasAnyRecentArrivals() || !outstandingRequests.isEmpty() || servers.hasLeases();
    }

    /**
     * Waits for a first grant again if the pool is inactive. An inactive pool sends no reports, so its leases expire.
     * That must not be taken for the loss of the owner when the next request arrives.
     */
    private void restartGrantTimeoutIfInactive(long nowNanos) {
        if (!isActive()) {
            leases.awaitFirstGrant(nowNanos);
            reports.request();
        }
    }

    private void dispatch(
            OutstandingRequest outstanding, LeasedServer server, long nowNanos, List<SlotAction> actions) {
        slots.take(outstanding, server, nowNanos);
        actions.add(
                new SlotAction.Dispatch(outstanding.request.id(), server.id, nowNanos - outstanding.submittedNanos));
    }

    private void releaseSlot(OutstandingRequest outstanding) {
        // The request ran on a slot that was no longer leased; the owner waits for the slot to become free.
        reports.requestIf(slots.release(outstanding));
    }

    private void refuseExpired(RankQueue queue, long nowNanos, List<SlotAction> actions) {
        while (queue.hasExpired(nowNanos)) {
            refuseQueued(queue.first(), RefusalReason.DEADLINE_PASSED, nowNanos, actions);
        }
    }

    private void refuseQueued(
            OutstandingRequest outstanding, RefusalReason reason, long nowNanos, List<SlotAction> actions) {
        queues.remove(outstanding, nowNanos);
        outstandingRequests.remove(outstanding);
        actions.add(refusals.refuseQueued(outstanding.request.id(), reason));
    }

    private void dispatchQueued(long nowNanos, List<SlotAction> actions) {
        leases.dropIfExpired(nowNanos);
        Set<Rank> blocked = EnumSet.noneOf(Rank.class);
        Rank rank = queues.next(blocked, slots);
        while (rank != null) {
            if (!dispatchFirst(rank, nowNanos, actions)) {
                blocked.add(rank);
            }
            rank = queues.next(blocked, slots);
        }
        reports.requestIf(slots.returnIdle());
        reportIfDue(nowNanos, actions);
    }

    private boolean dispatchFirst(Rank rank, long nowNanos, List<SlotAction> actions) {
        RankQueue queue = queues.of(rank);
        refuseExpired(queue, nowNanos, actions);
        for (OutstandingRequest candidate : queue.requests()) {
            LeasedServer server = slots.choose(candidate.request, candidate.tried, nowNanos);
            if (server != null) {
                // Ends the iteration, which the removal makes invalid.
                queue.removeForDispatch(candidate, nowNanos);
                dispatch(candidate, server, nowNanos, actions);
                slots.recordQueuedDispatch(rank);
                return true;
            }
            if (!slots.hasFree(nowNanos)) {
                return false;
            }
        }
        return false;
    }

    private void reportIfDue(long nowNanos, List<SlotAction> actions) {
        if (!reports.isDue(nowNanos)) {
            return;
        }
        // A new owner adopts the reported holdings, so expired leases must not be among them.
        leases.dropIfExpired(nowNanos);
        long number = reports.recordReport(nowNanos);
        arrivalRates.decay(nowNanos);
        actions.add(new SlotAction.SendReport(
                reports.owner(),
                new SlotReport(
                        limits.service(),
                        part,
                        servers.holdings(),
                        queues.demand(running, arrivalRates),
                        number,
                        leases.appliedSequence())));
    }
}
