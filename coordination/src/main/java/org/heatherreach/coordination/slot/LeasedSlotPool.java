package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.admission.DeadlineQueue;
import org.heatherreach.coordination.admission.RetryBudget;
import org.heatherreach.coordination.admission.RetryHint;
import org.heatherreach.coordination.admission.WaitEstimator;
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

    /** The shortest time between two reports, so that a burst of events costs one report. */
    private static final long MIN_REPORT_GAP_NANOS = 500_000L;

    /** A daemon without leases waits this long for its first grant before it uses its local share. */
    private static final long FIRST_GRANT_TIMEOUT_NANOS = 500_000_000L;

    private static final double SERVICE_TIME_SMOOTHING = 0.05;
    private static final double INITIAL_SERVICE_NANOS = 20e6;

    /**
     * The number of reports whose send time is kept. A grant extends the leases, counted from the send time of the
     * report that it answers.
     */
    private static final int REPORT_HISTORY_SIZE = 32;

    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final Rank[] RANKS = Rank.values();

    private final int part;
    private final ToIntFunction<WorkspaceId> workspaceLimit;
    private final RetryHint retryHint;
    private final RetryBudget retryBudget;
    private final Map<RequestId, Entry> entries = new HashMap<>();
    private final LeasedServers servers;
    private final Map<WorkspaceId, Integer> outstandingByWorkspace = new HashMap<>();
    private final List<DeadlineQueue<Entry>> queues = new ArrayList<>();
    private final List<WaitEstimator> waitEstimators = new ArrayList<>();
    private final int[] running = new int[RANKS.length];
    private final int[] caps = new int[RANKS.length];
    private final ArrivalRates arrivalRates;

    /** Positions of the ranks in the stride scheduling of the local share; the rank with the lowest one is next. */
    private final double[] passes = new double[RANKS.length];

    private final long[] reportSentNanos = new long[REPORT_HISTORY_SIZE];

    private ServiceLimits limits;
    private Map<Rank, RankLimits> rankLimits;
    private IncarnationId owner;
    private int liveDaemons = 1;
    private int idleTarget = UNLIMITED;
    private long appliedSequence;
    private long reportNumber;
    private long lastReportNanos;
    private boolean hasReported;
    private boolean reportPending;

    /** When the leases expire; before the first grant, when the wait for it ends. */
    private long leaseDeadlineNanos;

    private boolean usesLocalShare;
    private double meanServiceNanos = INITIAL_SERVICE_NANOS;

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
        this.servers = new LeasedServers(zone, random);
        this.arrivalRates = new ArrivalRates(nowNanos);
        this.workspaceLimit = Objects.requireNonNull(workspaceLimit, "workspaceLimit");
        this.retryHint = new RetryHint(random);
        this.retryBudget = new RetryBudget(nowNanos);
        for (Rank rank : RANKS) {
            queues.add(new DeadlineQueue<>());
            waitEstimators.add(new WaitEstimator());
            caps[rank.ordinal()] = UNLIMITED;
        }
        lastReportNanos = nowNanos;
        leaseDeadlineNanos = nowNanos + FIRST_GRANT_TIMEOUT_NANOS;
    }

    private static Map<Rank, RankLimits> checkAndCopy(Map<Rank, RankLimits> rankLimits) {
        for (Rank rank : RANKS) {
            Objects.requireNonNull(rankLimits.get(rank), rank.label());
        }
        return new EnumMap<>(rankLimits);
    }

    @Override
    public List<SlotAction> submit(SlotRequest request, long nowNanos) {
        if (entries.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is already outstanding");
        }
        int rank = request.rank().ordinal();
        restartGrantTimeoutIfInactive(nowNanos);
        arrivalRates.recordArrival(request.rank(), nowNanos);
        retryBudget.countRequest(nowNanos);
        if (servers.isEmpty()) {
            return refuse(request.id(), RefusalReason.NO_SERVER, retryHint.randomDelayMillis(0));
        }
        if (request.workspace().isDefined()
                && hasReachedLimit(request.workspace().get())) {
            return refuse(
                    request.id(), RefusalReason.WORKSPACE_LIMIT, retryHint.randomDelayMillis((long) meanServiceNanos));
        }
        List<SlotAction> actions = new ArrayList<>(2);
        useLocalShareIfExpired(nowNanos);
        DeadlineQueue<Entry> queue = queues.get(rank);
        if (queue.isEmpty() && mayRun(rank)) {
            LeasedServer server = chooseServer(request, null, nowNanos);
            if (server != null) {
                Entry entry = new Entry(request, nowNanos);
                addEntry(entry);
                dispatch(entry, server, nowNanos, actions);
                // Reports the use of the last idle slot, so that the owner can lease another one before the next
                // request arrives.
                reportPending |= !usesLocalShare && idleTarget > 0 && servers.idleSlots() == 0;
                reportIfPending(nowNanos, actions);
                return actions;
            }
        }
        if (queue.size() >= rankLimits.get(request.rank()).queueLimit()) {
            return refuse(
                    request.id(),
                    RefusalReason.QUEUE_FULL,
                    retryHint.randomDelayMillis(waitEstimators.get(rank).expectedWaitNanos(queue.size(), nowNanos)));
        }
        if (queue.isEmpty()) {
            waitEstimators.get(rank).beginBacklog(meanServiceNanos / Math.max(1, availableSlots(rank)), nowNanos);
        }
        long waitNanos =
                waitEstimators.get(rank).expectedWaitNanos(queue.estimateAheadOf(request.deadlineNanos()), nowNanos);
        if (nowNanos + waitNanos - request.deadlineNanos() > 0) {
            return refuse(request.id(), RefusalReason.DEADLINE_UNREACHABLE, retryHint.randomDelayMillis(waitNanos));
        }
        Entry entry = new Entry(request, nowNanos);
        addEntry(entry);
        entry.queueKey = queue.add(entry, request.deadlineNanos());
        // Reports when a queue forms and each time it doubles, so that a long queue costs few reports.
        reportPending |= Integer.bitCount(queue.size()) == 1;
        reportIfPending(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> complete(RequestId request, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        Entry entry = entries.get(request);
        if (entry == null || entry.server == null) {
            return actions;
        }
        meanServiceNanos += SERVICE_TIME_SMOOTHING * (nowNanos - entry.dispatchedNanos - meanServiceNanos);
        removeEntry(entry);
        releaseSlot(entry);
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> cancel(RequestId request, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        Entry entry = entries.get(request);
        if (entry == null) {
            return actions;
        }
        removeEntry(entry);
        if (entry.server == null) {
            dequeue(entry, nowNanos);
        } else {
            releaseSlot(entry);
            dispatchQueued(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<SlotAction> retry(RequestId request, RetryReason reason, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        Entry entry = entries.get(request);
        if (entry == null || entry.server == null) {
            return actions;
        }
        if (entry.tried == null) {
            entry.tried = new HashSet<>();
        }
        entry.tried.add(entry.server.id);
        releaseSlot(entry);
        if (!servers.hasUntried(entry.tried)
                || entry.request.deadlineNanos() - nowNanos <= 0
                || !retryBudget.tryAcquire(nowNanos, limits.retryPercent())) {
            removeEntry(entry);
            actions.add(new SlotAction.Refuse(
                    request, refusalOf(reason), retryHint.randomDelayMillis((long) meanServiceNanos)));
        } else {
            int rank = entry.request.rank().ordinal();
            if (queues.get(rank).isEmpty()) {
                waitEstimators.get(rank).beginBacklog(meanServiceNanos / Math.max(1, availableSlots(rank)), nowNanos);
                reportPending = true;
            }
            entry.queueKey = queues.get(rank).add(entry, entry.request.deadlineNanos());
        }
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    private static RefusalReason refusalOf(RetryReason reason) {
        return switch (reason) {
            case CONNECT_FAILED -> RefusalReason.CONNECT_FAILED;
            case SERVER_SHED -> RefusalReason.SERVERS_SHED;
            case CONNECTION_LOST, SERVER_ERROR -> RefusalReason.SERVER_LOST;
            case SERVER_SLOW -> RefusalReason.SERVER_TIMEOUT;
        };
    }

    @Override
    public List<SlotAction> onGrant(IncarnationId sender, SlotGrant grant, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        if (!sender.equals(owner)) {
            return actions;
        }
        long number = grant.reportNumber();
        if (number > 0 && number <= reportNumber && reportNumber - number < REPORT_HISTORY_SIZE) {
            long deadlineNanos =
                    reportSentNanos[(int) (number % REPORT_HISTORY_SIZE)] + grant.validMillis() * 1_000_000L;
            if (deadlineNanos - leaseDeadlineNanos > 0) {
                leaseDeadlineNanos = deadlineNanos;
            }
        }
        if (grant.sequence() >= appliedSequence) {
            idleTarget = grant.idleTarget();
            for (Rank rank : RANKS) {
                if (rank.ordinal() < grant.rankCaps().size()) {
                    caps[rank.ordinal()] = grant.rankCaps().get(rank.ordinal());
                }
            }
        }
        if (leaseDeadlineNanos - nowNanos > 0) {
            usesLocalShare = false;
        }
        applyLeases(grant.leases(), grant.sequence(), nowNanos);
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> onRecall(IncarnationId sender, SlotRecall recall, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        if (!sender.equals(owner)) {
            return actions;
        }
        if (recall.sequence() > appliedSequence) {
            applyLeases(recall.leases(), recall.sequence(), nowNanos);
            // The owner needs a report that confirms the recall, even if an earlier report that returned the slots
            // has crossed the recall.
            reportPending = true;
        }
        reportIfPending(nowNanos, actions);
        return actions;
    }

    private void applyLeases(List<SlotLease> leases, long sequence, long nowNanos) {
        useLocalShareIfExpired(nowNanos);
        if (sequence <= appliedSequence) {
            return;
        }
        appliedSequence = sequence;
        if (usesLocalShare) {
            // The message was delayed, as by a pause of this process, until the leases had expired; the owner may have
            // leased the slots to other daemons since.
            return;
        }
        for (SlotLease lease : leases) {
            LeasedServer server = servers.findOrAdd(lease.server());
            // The owner can lease a returned slot to another daemon only after the next report.
            reportPending |= lease.count() < server.held;
            server.held = lease.count();
        }
    }

    @Override
    public List<SlotAction> onOwner(IncarnationId newOwner, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(2);
        if (!newOwner.equals(owner)) {
            owner = newOwner;
            appliedSequence = 0;
            // Skips the numbers of earlier reports, whose late answers must not extend leases that the new owner
            // grants.
            reportNumber += REPORT_HISTORY_SIZE;
            if (isActive()) {
                reportPending = true;
            }
            reportIfPending(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<SlotAction> onServers(List<SlotServer> listed, int newLiveDaemons, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>();
        liveDaemons = Math.max(1, newLiveDaemons);
        servers.setListed(listed, limits.slots());
        if (servers.isEmpty()) {
            for (DeadlineQueue<Entry> queue : queues) {
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
        servers.updateSlots(limits.slots());
        List<SlotAction> actions = new ArrayList<>();
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> tick(long nowNanos) {
        List<SlotAction> actions = new ArrayList<>();
        arrivalRates.decay(nowNanos);
        useLocalShareIfExpired(nowNanos);
        for (DeadlineQueue<Entry> queue : queues) {
            while (!queue.isEmpty() && queue.first().request.deadlineNanos() - nowNanos <= 0) {
                refuseQueued(queue.first(), RefusalReason.DEADLINE_PASSED, nowNanos, actions);
            }
        }
        dispatchQueued(nowNanos, actions);
        if (nowNanos - lastReportNanos >= REPORT_INTERVAL_NANOS) {
            reportPending |= isActive();
            reportIfPending(nowNanos, actions);
            lastReportNanos = nowNanos;
        }
        servers.removeUnused();
        return actions;
    }

    @Override
    public long nextDeadlineNanos() {
        if (reportPending && owner != null) {
            return lastReportNanos + MIN_REPORT_GAP_NANOS;
        }
        long nextNanos = lastReportNanos + REPORT_INTERVAL_NANOS;
        for (DeadlineQueue<Entry> queue : queues) {
            if (!queue.isEmpty()) {
                long deadlineNanos = queue.first().request.deadlineNanos();
                nextNanos = deadlineNanos - nextNanos < 0 ? deadlineNanos : nextNanos;
            }
        }
        return nextNanos;
    }

    /** Returns how many slots of a server are leased; zero if the leases have expired. */
    public int leasedSlotsOf(ServerId server, long nowNanos) {
        LeasedServer leasedServer = servers.find(server);
        return leasedServer == null || leaseDeadlineNanos - nowNanos <= 0 ? 0 : leasedServer.held;
    }

    /** Returns how many requests run on a server. */
    public int inUseOf(ServerId server) {
        LeasedServer leasedServer = servers.find(server);
        return leasedServer == null ? 0 : leasedServer.inUse;
    }

    /** Returns whether the leases of the pool have not expired; also true while it waits for its first grant. */
    public boolean hasValidLeases(long nowNanos) {
        return !usesLocalShare && leaseDeadlineNanos - nowNanos > 0;
    }

    /** Returns whether the pool uses its local share because no owner answers. */
    public boolean usesLocalShare() {
        return usesLocalShare;
    }

    private boolean isActive() {
        return arrivalRates.hasAnyRecentArrivals() || !entries.isEmpty() || servers.hasLeases();
    }

    /**
     * Waits for a first grant again if the pool is inactive. An inactive pool sends no reports, so its leases expire.
     * That must not be taken for the loss of the owner when the next request arrives.
     */
    private void restartGrantTimeoutIfInactive(long nowNanos) {
        if (!isActive()) {
            leaseDeadlineNanos = nowNanos + FIRST_GRANT_TIMEOUT_NANOS;
            usesLocalShare = false;
            reportPending = true;
        }
    }

    private boolean hasReachedLimit(WorkspaceId workspace) {
        int limit = workspaceLimit.applyAsInt(workspace);
        return limit > 0 && outstandingByWorkspace.getOrDefault(workspace, 0) >= limit;
    }

    private void useLocalShareIfExpired(long nowNanos) {
        if (!usesLocalShare && leaseDeadlineNanos - nowNanos <= 0) {
            usesLocalShare = true;
            servers.dropLeases();
        }
    }

    private int localShare() {
        return Math.max(1, servers.usableSlots() / liveDaemons);
    }

    private int totalRunning() {
        int total = 0;
        for (int count : running) {
            total += count;
        }
        return total;
    }

    private boolean mayRun(int rank) {
        if (!usesLocalShare) {
            return running[rank] < caps[rank];
        }
        int share = localShare();
        return totalRunning() < share && running[rank] < localCap(rank, share);
    }

    /**
     * Returns the part of the local share that the guarantees of other ranks with recent arrivals leave, at least one
     * slot.
     */
    private int localCap(int rank, int share) {
        int reservedPercent = 0;
        for (Rank other : RANKS) {
            if (other.ordinal() != rank && arrivalRates.hasRecentArrivals(other)) {
                reservedPercent += rankLimits.get(other).guaranteePercent();
            }
        }
        return Math.max(1, share * Math.max(0, 100 - reservedPercent) / 100);
    }

    private int availableSlots(int rank) {
        if (usesLocalShare) {
            return localCap(rank, localShare());
        }
        return Math.min(caps[rank], servers.heldSlots());
    }

    private LeasedServer chooseServer(SlotRequest request, Set<ServerId> tried, long nowNanos) {
        if (usesLocalShare) {
            return servers.chooseOnLocalShare(request, tried);
        }
        return leaseDeadlineNanos - nowNanos <= 0 ? null : servers.chooseLeased(request, tried);
    }

    private void addEntry(Entry entry) {
        entries.put(entry.request.id(), entry);
        entry.request.workspace().forEach(workspace -> outstandingByWorkspace.merge(workspace, 1, Integer::sum));
    }

    private void removeEntry(Entry entry) {
        entries.remove(entry.request.id());
        entry.request
                .workspace()
                .forEach(workspace -> outstandingByWorkspace.compute(
                        workspace, (key, count) -> count == null || count <= 1 ? null : count - 1));
    }

    private void dispatch(Entry entry, LeasedServer server, long nowNanos, List<SlotAction> actions) {
        entry.server = server;
        entry.queueKey = null;
        entry.dispatchedNanos = nowNanos;
        server.inUse++;
        running[entry.request.rank().ordinal()]++;
        actions.add(new SlotAction.Dispatch(entry.request.id(), server.id, nowNanos - entry.submittedNanos));
    }

    private void releaseSlot(Entry entry) {
        LeasedServer server = entry.server;
        server.inUse--;
        running[entry.request.rank().ordinal()]--;
        entry.server = null;
        // The request ran on a slot that was no longer leased; the owner waits for the slot to become free.
        if (!usesLocalShare && server.inUse >= server.held) {
            reportPending = true;
        }
    }

    private void dequeue(Entry entry, long nowNanos) {
        int rank = entry.request.rank().ordinal();
        queues.get(rank).remove(entry.queueKey);
        entry.queueKey = null;
        if (queues.get(rank).isEmpty()) {
            waitEstimators.get(rank).endBacklog(nowNanos);
        }
    }

    private void refuseQueued(Entry entry, RefusalReason reason, long nowNanos, List<SlotAction> actions) {
        dequeue(entry, nowNanos);
        removeEntry(entry);
        long retryAfterMillis = reason.isTransient() ? retryHint.randomDelayMillis((long) meanServiceNanos) : 0;
        actions.add(new SlotAction.Refuse(entry.request.id(), reason, retryAfterMillis));
    }

    private static List<SlotAction> refuse(RequestId request, RefusalReason reason, long retryAfterMillis) {
        return List.of(new SlotAction.Refuse(request, reason, retryAfterMillis));
    }

    private void dispatchQueued(long nowNanos, List<SlotAction> actions) {
        useLocalShareIfExpired(nowNanos);
        boolean[] blocked = new boolean[RANKS.length];
        int rank = nextRank(blocked);
        while (rank >= 0) {
            blocked[rank] = !dispatchFirst(rank, nowNanos, actions);
            rank = nextRank(blocked);
        }
        returnIdleSlots();
        reportIfPending(nowNanos, actions);
    }

    /** Gives idle slots above the idle target back to the owner. */
    private void returnIdleSlots() {
        if (!usesLocalShare) {
            reportPending |= servers.returnIdleSlots(servers.idleSlots() - idleTarget);
        }
    }

    /**
     * Returns the rank to serve next among those with queued requests that may run: the most urgent one, or on the
     * local share the one that is furthest below its guarantee; -1 if there is none.
     *
     * @param blocked the ranks to skip, since none of their queued requests can be dispatched now
     */
    private int nextRank(boolean[] blocked) {
        int best = -1;
        for (int rank = 0; rank < RANKS.length; rank++) {
            if (!blocked[rank]
                    && !queues.get(rank).isEmpty()
                    && mayRun(rank)
                    && (best < 0 || usesLocalShare && passes[rank] < passes[best])) {
                best = rank;
            }
        }
        return best;
    }

    private boolean dispatchFirst(int rank, long nowNanos, List<SlotAction> actions) {
        DeadlineQueue<Entry> queue = queues.get(rank);
        while (!queue.isEmpty() && queue.first().request.deadlineNanos() - nowNanos <= 0) {
            refuseQueued(queue.first(), RefusalReason.DEADLINE_PASSED, nowNanos, actions);
        }
        Iterator<Entry> candidates = queue.elements().iterator();
        while (candidates.hasNext()) {
            Entry entry = candidates.next();
            LeasedServer server = chooseServer(entry.request, entry.tried, nowNanos);
            if (server != null) {
                waitEstimators.get(rank).recordDispatch(nowNanos);
                dequeue(entry, nowNanos);
                dispatch(entry, server, nowNanos, actions);
                advancePass(rank);
                return true;
            }
            if (!hasFreeSlot(nowNanos)) {
                return false;
            }
        }
        return false;
    }

    private boolean hasFreeSlot(long nowNanos) {
        if (usesLocalShare) {
            return totalRunning() < localShare();
        }
        return leaseDeadlineNanos - nowNanos > 0 && servers.hasIdleSlot();
    }

    private void advancePass(int rank) {
        if (!usesLocalShare) {
            return;
        }
        double highest = 0;
        for (double pass : passes) {
            highest = Math.max(highest, pass);
        }
        double stride = 100.0 / Math.max(1, rankLimits.get(RANKS[rank]).guaranteePercent());
        // Limits the lag, so that a rank without requests does not accumulate a claim to slots.
        passes[rank] = Math.max(passes[rank], highest - 2 * stride) + stride;
    }

    private void reportIfPending(long nowNanos, List<SlotAction> actions) {
        if (!reportPending || owner == null || hasReported && nowNanos - lastReportNanos < MIN_REPORT_GAP_NANOS) {
            return;
        }
        // A new owner adopts the reported holdings, so expired leases must not be among them.
        useLocalShareIfExpired(nowNanos);
        reportPending = false;
        hasReported = true;
        lastReportNanos = nowNanos;
        reportNumber++;
        reportSentNanos[(int) (reportNumber % REPORT_HISTORY_SIZE)] = nowNanos;
        arrivalRates.decay(nowNanos);
        List<RankDemand> demand = new ArrayList<>(RANKS.length);
        for (Rank rank : RANKS) {
            int index = rank.ordinal();
            demand.add(
                    new RankDemand(rank, queues.get(index).size(), running[index], arrivalRates.ratePerSecond(rank)));
        }
        actions.add(new SlotAction.SendReport(
                owner,
                new SlotReport(limits.service(), part, servers.holdings(), demand, reportNumber, appliedSequence)));
    }

    /** An outstanding request, queued or running. */
    private static final class Entry {
        final SlotRequest request;
        final long submittedNanos;

        /** The server whose slot the request occupies; null while it is queued. */
        LeasedServer server;

        long dispatchedNanos;

        /** The servers of failed attempts; null before the first retry. */
        Set<ServerId> tried;

        DeadlineQueue.Key queueKey;

        Entry(SlotRequest request, long submittedNanos) {
            this.request = request;
            this.submittedNanos = submittedNanos;
        }
    }
}
