package org.heatherreach.daemon.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryHint;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.SuspectList;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.coordination.slot.LeasedSlotPool;
import org.heatherreach.coordination.slot.LedgerAction;
import org.heatherreach.coordination.slot.ServerSubsets;
import org.heatherreach.coordination.slot.SlotAction;
import org.heatherreach.coordination.slot.SlotGrant;
import org.heatherreach.coordination.slot.SlotRecall;
import org.heatherreach.coordination.slot.SlotReport;
import org.heatherreach.coordination.slot.SlotRequest;
import org.heatherreach.coordination.slot.SlotServer;
import org.heatherreach.protocol.peer.SlotCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.state.table.Table;
import org.heatherreach.transport.http.BackendServer;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.http.RequestScheduler;
import org.heatherreach.transport.http.ScheduleDecision;
import org.heatherreach.transport.http.Submission;
import org.heatherreach.transport.peer.PeerLinks;
import org.jboss.logging.Logger;

/**
 * Schedules requests on leased slots: owns the slot pool of every service part and the slot ledgers of the parts that
 * this daemon owns.
 *
 * <p>Invariants: each submission that was accepted and not cancelled gets exactly one decision; a completion or a
 * cancellation is never lost. The latest members, servers, table and shares are kept outside the ring, so a full ring
 * delays their changes but loses none.
 *
 * <p>Thread safety: the public methods are safe for use by any thread; the state is confined to the duty thread.
 */
public final class ScheduleDuty implements RequestScheduler, HealthListener {
    private static final Logger LOG = Logger.getLogger(ScheduleDuty.class);

    /**
     * The shortest time between two ticks. A pool makes the next report due after half a millisecond at the earliest.
     */
    private static final long MIN_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** The longest time between two ticks; a tick finds a change whose refresh event was refused by a full ring. */
    private static final long MAX_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /**
     * Limits how long requests wait for the refresh after a change that affects every service, such as a new member.
     */
    private static final long REFRESH_SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final int HEX_RADIX = 16;

    private final MemberDirectory members;
    private final ServerDirectory servers;
    private final PeerSender sender;
    private final RandomGenerator random;
    private final RetryHint retryHint;
    private final DutyRing<Event> ring;
    private final FleetChangeTracker changes;
    private final PartOwners owners;
    private final Map<ServiceId, ScheduledService> services = new HashMap<>();
    private final Map<ServiceId, SuspectList> suspects = new HashMap<>();
    private final Map<Long, PendingSubmission> pending = new HashMap<>();
    private final Map<WorkspaceId, Integer> pendingByWorkspace = new HashMap<>();
    private final Set<ServiceId> dirty = new LinkedHashSet<>();
    private final Queue<Runnable> messagesToSelf = new ArrayDeque<>();
    private final Map<ServiceId, Map<ServerId, Integer>> newestShares = new ConcurrentHashMap<>();
    private final Set<ServiceId> changedShares = ConcurrentHashMap.newKeySet();
    private final Counter leasedDispatches;
    private final Counter queuedDispatches;
    private final Counter localDispatches;
    private final Counter strayMessages;
    private volatile int ownedParts;
    private long lastTickNanos;
    private boolean closing;

    /**
     * Creates a duty; {@link #start} starts its thread.
     *
     * @param members the members of the fleet
     * @param servers the listed servers; they belong to this daemon's region
     * @param links carries messages to other daemons
     * @param random the source of every random choice; used by the duty thread only
     * @param ringCapacity the number of events that the ring holds
     * @param registry the registry of the counters
     */
    public ScheduleDuty(
            MemberDirectory members,
            ServerDirectory servers,
            PeerLinks links,
            RandomGenerator random,
            int ringCapacity,
            MeterRegistry registry) {
        this.members = Objects.requireNonNull(members, "members");
        this.servers = Objects.requireNonNull(servers, "servers");
        this.sender = new PeerSender(members, links, registry);
        this.random = Objects.requireNonNull(random, "random");
        this.retryHint = new RetryHint(random);
        this.changes = new FleetChangeTracker(members, servers, this::offerRefresh);
        this.owners = changes.owners();
        this.ring =
                new DutyRing<>("schedule", ringCapacity, this::handle, this::tick, MAX_TICK_INTERVAL_NANOS, registry);
        leasedDispatches = registry.counter("heatherreach.slots.dispatched", "slot", "leased");
        queuedDispatches = registry.counter("heatherreach.slots.dispatched", "slot", "queued");
        localDispatches = registry.counter("heatherreach.slots.dispatched", "slot", "local-share");
        strayMessages = registry.counter("heatherreach.slots.stray.messages");
        Gauge.builder("heatherreach.slots.owned.parts", this, duty -> duty.ownedParts)
                .register(registry);
    }

    /** Starts the thread and listens for changes of members and servers. */
    public void start() {
        changes.listen();
        ring.start();
    }

    /** Adds the handlers of slot messages. */
    public void register(FrameRouter router) {
        router.addHandler(Frame.BodyCase.SLOT_REPORT, (frame, reply) -> {
            SlotReport report = SlotCodec.decode(frame.getSlotReport());
            ring.offer(new Task(now -> handleReport(senderOf(frame), report, now)));
        });
        router.addHandler(Frame.BodyCase.SLOT_GRANT, (frame, reply) -> {
            SlotGrant grant = SlotCodec.decode(frame.getSlotGrant());
            ring.offer(new Task(now -> handleGrant(senderOf(frame), grant, now)));
        });
        router.addHandler(Frame.BodyCase.SLOT_RECALL, (frame, reply) -> {
            SlotRecall recall = SlotCodec.decode(frame.getSlotRecall());
            ring.offer(new Task(now -> handleRecall(senderOf(frame), recall, now)));
        });
    }

    @Override
    public boolean submit(Submission submission) {
        return ring.offer(new Submitted(submission));
    }

    @Override
    public void complete(long ticket, ExchangeResult result) {
        ring.offerAlways(new Completed(ticket));
    }

    @Override
    public void cancel(long ticket) {
        ring.offerAlways(new Cancelled(ticket));
    }

    /** Replaces the servers of a service in the server directory; none of them is marked as leaving. */
    @Override
    public void changeServers(ServiceId service, List<BackendServer> newServers) {
        synchronized (servers) {
            Map<ServiceId, List<ListedServer>> next = new HashMap<>(servers.servers());
            next.put(
                    service,
                    newServers.stream()
                            .map(server -> new ListedServer(server, false))
                            .toList());
            servers.publish(next);
        }
    }

    /** Puts a table in force. */
    public void changeTable(Table newTable) {
        changes.changeTable(newTable);
    }

    @Override
    public void onSharesChanged(ServiceId service, Map<ServerId, Integer> sharePercents) {
        newestShares.put(service, Map.copyOf(sharePercents));
        changedShares.add(service);
        changes.requestRefresh();
    }

    @Override
    public void onSuspectsChanged(SuspectUpdate update) {
        ring.offerAlways(new Task(now ->
                suspects.computeIfAbsent(update.service(), SuspectList::new).apply(update, now)));
    }

    @Override
    public void close() {
        ring.offerAlways(new Closing());
        ring.close();
    }

    private static IncarnationId senderOf(Frame frame) {
        return new IncarnationId(frame.getSender());
    }

    private void offerRefresh() {
        ring.offer(new Task(this::refresh));
    }

    private void handle(Event event) {
        long nowNanos = System.nanoTime();
        if (event instanceof Submitted submitted) {
            accept(submitted.submission(), nowNanos);
        } else if (event instanceof Completed completed) {
            release(completed.ticket(), true, nowNanos);
        } else if (event instanceof Cancelled cancelled) {
            release(cancelled.ticket(), false, nowNanos);
        } else if (event instanceof Task task) {
            task.work().run(nowNanos);
        } else {
            refuseAll(nowNanos);
        }
        deliverMessagesToSelf();
    }

    private void tick(long nowNanos) {
        lastTickNanos = nowNanos;
        refresh(nowNanos);
        for (ScheduledService service : services.values()) {
            for (ScheduledPart part : service.parts()) {
                if (part.isDue(nowNanos)) {
                    if (part.ledger() != null) {
                        sendAll(part.ledger().tick(nowNanos));
                    }
                    carryOut(service, part, part.pool().tick(nowNanos));
                }
                advanceTickTo(part.dueNanos());
            }
        }
        deliverMessagesToSelf();
    }

    private void advanceTickTo(long deadlineNanos) {
        long earliestNanos = lastTickNanos + MIN_TICK_INTERVAL_NANOS;
        ring.advanceTickTo(deadlineNanos - earliestNanos < 0 ? earliestNanos : deadlineNanos);
    }

    /**
     * Delivers messages of this daemon to itself after the event that caused them, so that no decision is re-entered.
     */
    private void deliverMessagesToSelf() {
        Runnable message = messagesToSelf.poll();
        while (message != null) {
            message.run();
            message = messagesToSelf.poll();
        }
    }

    private void accept(Submission submission, long nowNanos) {
        if (closing) {
            decide(
                    submission,
                    new ScheduleDecision.Refuse(RefusalReason.SHUTTING_DOWN, retryHint.randomDelayMillis(0)));
            return;
        }
        if (dirty.remove(submission.service())) {
            refreshService(submission.service(), nowNanos);
        }
        ScheduledService service = services.get(submission.service());
        if (service == null) {
            decide(submission, new ScheduleDecision.Refuse(RefusalReason.NO_SERVER, retryHint.randomDelayMillis(0)));
            return;
        }
        if (submission.workspace().exists(this::isOverLimit)) {
            decide(
                    submission,
                    new ScheduleDecision.Refuse(RefusalReason.WORKSPACE_LIMIT, retryHint.randomDelayMillis(0)));
            return;
        }
        submission.workspace().forEach(workspace -> pendingByWorkspace.merge(workspace, 1, Integer::sum));
        submitTo(service, submission, nowNanos);
    }

    private boolean isOverLimit(WorkspaceId workspace) {
        // The limit applies to the requests of the workspace at this daemon, over all services.
        return changes.table()
                .workspace(workspace)
                .exists(limits -> pendingByWorkspace.getOrDefault(workspace, 0) >= limits.requestLimit());
    }

    private void submitTo(ScheduledService service, Submission submission, long nowNanos) {
        ScheduledPart part = service.choosePart(random);
        pending.put(submission.ticket(), new PendingSubmission(submission, service, part));
        SlotRequest request = new SlotRequest(
                requestId(submission.ticket()),
                submission.rank(),
                submission.deadlineNanos(),
                Option.none(),
                placementFilter(part, submission));
        carryOut(service, part, part.pool().submit(request, nowNanos));
    }

    private Predicate<ServerId> placementFilter(ScheduledPart part, Submission submission) {
        Fingerprint fingerprint = new Fingerprint(submission.fingerprint());
        Set<ServerId> triedServers = submission.triedServers();
        return server -> {
            if (triedServers.contains(server) && !part.allTried(triedServers)) {
                return false;
            }
            SuspectList list = suspects.get(submission.service());
            return list == null || list.mayPlace(fingerprint, server, System.nanoTime());
        };
    }

    private void release(long ticket, boolean completed, long nowNanos) {
        PendingSubmission entry = pending.get(ticket);
        if (entry == null) {
            return;
        }
        removePending(ticket, entry);
        RequestId id = requestId(ticket);
        LeasedSlotPool pool = entry.part.pool();
        carryOut(entry.service, entry.part, completed ? pool.complete(id, nowNanos) : pool.cancel(id, nowNanos));
    }

    private void removePending(long ticket, PendingSubmission entry) {
        pending.remove(ticket);
        entry.submission
                .workspace()
                .forEach(workspace -> pendingByWorkspace.compute(
                        workspace, (key, count) -> count == null || count <= 1 ? null : count - 1));
    }

    private void refuseAll(long nowNanos) {
        closing = true;
        for (PendingSubmission entry : List.copyOf(pending.values())) {
            if (!entry.dispatched) {
                release(entry.submission.ticket(), false, nowNanos);
                decide(
                        entry.submission,
                        new ScheduleDecision.Refuse(RefusalReason.SHUTTING_DOWN, retryHint.randomDelayMillis(0)));
            }
        }
    }

    private void carryOut(ScheduledService service, ScheduledPart part, List<SlotAction> actions) {
        for (SlotAction action : actions) {
            if (action instanceof SlotAction.Dispatch dispatch) {
                dispatch(service, part, dispatch);
            } else if (action instanceof SlotAction.Refuse refuse) {
                long ticket = ticketOf(refuse.request());
                PendingSubmission entry = pending.get(ticket);
                removePending(ticket, entry);
                decide(entry.submission, new ScheduleDecision.Refuse(refuse.reason(), refuse.retryAfterMillis()));
            } else if (action instanceof SlotAction.SendReport send) {
                if (owners.isSelf(send.owner())) {
                    messagesToSelf.add(() -> handleReport(send.owner(), send.report(), System.nanoTime()));
                } else {
                    sender.send(send.owner(), Frame.newBuilder().setSlotReport(SlotCodec.encode(send.report())));
                }
            }
        }
        advanceTickTo(part.updateDueNanos());
    }

    private void dispatch(ScheduledService service, ScheduledPart part, SlotAction.Dispatch dispatch) {
        PendingSubmission entry = pending.get(ticketOf(dispatch.request()));
        entry.dispatched = true;
        if (part.pool().usesLocalShare()) {
            localDispatches.increment();
        } else if (dispatch.queuedNanos() == 0) {
            leasedDispatches.increment();
        } else {
            queuedDispatches.increment();
        }
        BackendServer server = service.listed().find(dispatch.server()).server();
        if (!decide(entry.submission, new ScheduleDecision.Dispatch(server))) {
            // The submitter did not get the decision and won't complete the submission, so its slot is released here.
            ring.offerAlways(new Cancelled(entry.submission.ticket()));
        }
    }

    private static boolean decide(Submission submission, ScheduleDecision decision) {
        try {
            submission.callback().accept(decision);
            return true;
        } catch (RuntimeException e) {
            LOG.errorf(e, "A decision on a request of service %s could not be delivered", submission.service());
            return false;
        }
    }

    private void sendAll(List<LedgerAction> actions) {
        for (LedgerAction action : actions) {
            IncarnationId receiver = action.daemon();
            if (action instanceof LedgerAction.SendGrant send) {
                if (owners.isSelf(receiver)) {
                    messagesToSelf.add(() -> handleGrant(receiver, send.grant(), System.nanoTime()));
                } else {
                    sender.send(receiver, Frame.newBuilder().setSlotGrant(SlotCodec.encode(send.grant())));
                }
            } else if (action instanceof LedgerAction.SendRecall send) {
                if (owners.isSelf(receiver)) {
                    messagesToSelf.add(() -> handleRecall(receiver, send.recall(), System.nanoTime()));
                } else {
                    sender.send(receiver, Frame.newBuilder().setSlotRecall(SlotCodec.encode(send.recall())));
                }
            }
        }
    }

    private void handleReport(IncarnationId daemon, SlotReport report, long nowNanos) {
        ScheduledPart part = findPart(report.service(), report.part());
        if (part == null || part.ledger() == null) {
            // The views of the sender and of this daemon name different owners. The sender repeats the report after a
            // change of its view.
            strayMessages.increment();
            return;
        }
        sendAll(part.ledger().onReport(daemon, report, nowNanos));
        advanceTickTo(part.updateDueNanos());
    }

    private void handleGrant(IncarnationId owner, SlotGrant grant, long nowNanos) {
        ScheduledPart part = findPart(grant.service(), grant.part());
        if (part == null) {
            strayMessages.increment();
            return;
        }
        carryOut(services.get(grant.service()), part, part.pool().onGrant(owner, grant, nowNanos));
    }

    private void handleRecall(IncarnationId owner, SlotRecall recall, long nowNanos) {
        ScheduledPart part = findPart(recall.service(), recall.part());
        if (part == null) {
            strayMessages.increment();
            return;
        }
        carryOut(services.get(recall.service()), part, part.pool().onRecall(owner, recall, nowNanos));
    }

    private ScheduledPart findPart(ServiceId id, int part) {
        ScheduledService service = services.get(id);
        return service == null || part < 0 || part >= service.parts().size()
                ? null
                : service.parts().get(part);
    }

    private void refresh(long nowNanos) {
        if (changes.takeRefreshRequest()) {
            collectChanges();
        }
        if (dirty.isEmpty()) {
            return;
        }
        Iterator<ServiceId> next = dirty.iterator();
        do {
            ServiceId service = next.next();
            next.remove();
            refreshService(service, nowNanos);
        } while (next.hasNext() && System.nanoTime() - nowNanos < REFRESH_SLICE_NANOS);
        if (!dirty.isEmpty()) {
            advanceTickTo(nowNanos);
        }
        if (dirty.isEmpty()) {
            ownedParts = (int) services.values().stream()
                    .flatMap(service -> service.parts().stream())
                    .filter(part -> part.ledger() != null)
                    .count();
        }
    }

    private void collectChanges() {
        changes.collectChangedServices(services.keySet(), dirty);
        for (ServiceId service : List.copyOf(changedShares)) {
            changedShares.remove(service);
            dirty.add(service);
        }
    }

    private void refreshService(ServiceId id, long nowNanos) {
        ServiceLimits limits = changes.limits(id).getOrNull();
        if (limits == null) {
            ScheduledService removed = services.remove(id);
            if (removed != null) {
                removed.parts().forEach(part -> removePart(removed, part, nowNanos));
            }
            return;
        }
        ScheduledService service = services.computeIfAbsent(id, key -> new ScheduledService());
        Map<Rank, RankLimits> rankLimits = new EnumMap<>(Rank.class);
        for (Rank rank : Rank.values()) {
            rankLimits.put(rank, changes.table().rank(id, rank));
        }
        service.listed().update(changes.listed(id));
        int count = service.listed().partCount();
        List<ScheduledPart> surplus = new ArrayList<>();
        while (service.parts().size() > count) {
            surplus.add(service.parts().remove(service.parts().size() - 1));
        }
        while (service.parts().size() < count) {
            int number = service.parts().size();
            LeasedSlotPool pool = new LeasedSlotPool(
                    limits, rankLimits, number, members.self().zone(), workspace -> 0, random, nowNanos);
            service.parts().add(new ScheduledPart(owners.partId(id, number), pool, limits, rankLimits, nowNanos));
        }
        Map<ServerId, Integer> shares = newestShares.getOrDefault(id, Map.of());
        for (ScheduledPart part : service.parts()) {
            refreshPart(service, part, limits, rankLimits, shares, nowNanos);
        }
        surplus.forEach(part -> moveQueuedRequests(service, part, nowNanos));
    }

    private void refreshPart(
            ScheduledService service,
            ScheduledPart part,
            ServiceLimits limits,
            Map<Rank, RankLimits> rankLimits,
            Map<ServerId, Integer> shares,
            long nowNanos) {
        List<SlotServer> all = new ArrayList<>();
        for (ListedServer entry : service.listed().serversOf(part.id().part())) {
            BackendServer server = entry.server();
            int sharePercent = entry.leaving() ? 0 : shares.getOrDefault(server.id(), 100);
            all.add(new SlotServer(server.id(), server.zone(), sharePercent));
        }
        List<SlotAction> limitActions = part.updateLimits(limits, rankLimits, nowNanos);
        carryOut(service, part, limitActions);
        carryOut(
                service,
                part,
                part.updateServers(
                        subset(all, limits), Math.max(1, owners.liveZones().size()), nowNanos));
        Optional<IncarnationId> owner = owners.owner(part.id());
        if (owner.isPresent() && owners.isSelf(owner.get())) {
            sendAll(part.updateLedger(all, owners.liveZones(), nowNanos));
        } else {
            part.dropLedger();
        }
        if (owner.isPresent()) {
            carryOut(service, part, part.updateOwner(owner.get(), nowNanos));
        }
        advanceTickTo(part.updateDueNanos());
    }

    /** Returns the servers that this daemon may connect to, chosen so that no server exceeds its connection limit. */
    private List<SlotServer> subset(List<SlotServer> all, ServiceLimits limits) {
        Map<IncarnationId, ZoneId> live = owners.liveZones();
        IncarnationId self = members.self().incarnation();
        if ((long) live.size() * limits.slots() <= limits.connections() || !live.containsKey(self)) {
            return all;
        }
        List<ServerId> ids = all.stream().map(SlotServer::server).toList();
        Set<ServerId> assigned =
                ServerSubsets.assign(ids, live.keySet(), limits).get(self);
        return all.stream().filter(server -> assigned.contains(server.server())).toList();
    }

    /** Ends a part that was removed: its queued requests are refused, running ones are completed by their tickets. */
    private void removePart(ScheduledService service, ScheduledPart part, long nowNanos) {
        part.dropLedger();
        owners.remove(part.id());
        carryOut(service, part, part.updateServers(List.of(), 1, nowNanos));
    }

    /** Ends a part whose servers moved to other parts, and submits its queued requests to those. */
    private void moveQueuedRequests(ScheduledService service, ScheduledPart part, long nowNanos) {
        for (PendingSubmission entry : List.copyOf(pending.values())) {
            if (entry.part == part && !entry.dispatched) {
                part.pool().cancel(requestId(entry.submission.ticket()), nowNanos);
                submitTo(service, entry.submission, nowNanos);
            }
        }
        removePart(service, part, nowNanos);
    }

    private static RequestId requestId(long ticket) {
        return new RequestId(Long.toHexString(ticket));
    }

    private static long ticketOf(RequestId request) {
        return Long.parseUnsignedLong(request.value(), HEX_RADIX);
    }

    private sealed interface Event {}

    private record Submitted(Submission submission) implements Event {}

    private record Completed(long ticket) implements Event {}

    private record Cancelled(long ticket) implements Event {}

    private record Closing() implements Event {}

    private record Task(Work work) implements Event {}

    @FunctionalInterface
    private interface Work {
        void run(long nowNanos);
    }

    /** A submission that is queued or dispatched. */
    private static final class PendingSubmission {
        private final Submission submission;
        private final ScheduledService service;
        private final ScheduledPart part;
        private boolean dispatched;

        PendingSubmission(Submission submission, ScheduledService service, ScheduledPart part) {
            this.submission = submission;
            this.service = service;
            this.part = part;
        }
    }
}
