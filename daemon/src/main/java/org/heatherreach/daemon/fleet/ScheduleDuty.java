package org.heatherreach.daemon.fleet;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.coordination.slot.SlotGrant;
import org.heatherreach.coordination.slot.SlotRecall;
import org.heatherreach.coordination.slot.SlotReport;
import org.heatherreach.protocol.peer.SlotCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.table.Table;
import org.heatherreach.transport.http.BackendServer;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.http.RequestScheduler;
import org.heatherreach.transport.http.Submission;
import org.heatherreach.transport.peer.PeerLinks;

/**
 * Schedules requests on leased slots: owns the slot pool of every service part and the slot ledgers of the parts that
 * this daemon owns. {@link SubmissionDispatcher} submits requests and delivers the decisions, {@link SlotMessages} sends
 * what pools and ledgers tell each other, {@link ScheduleRefresher} applies changes of the fleet.
 *
 * <p>Invariants: a completion or a cancellation is never lost. The latest members, servers, table and shares are kept
 * outside the ring, so a full ring delays their changes but loses none.
 *
 * <p>Thread safety: the public methods are safe for use by any thread; the state is confined to the duty thread.
 */
public final class ScheduleDuty implements RequestScheduler, HealthListener {
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

    private final ServerDirectory servers;
    private final DutyRing<Event> ring;
    private final FleetChangeTracker changes;
    private final Map<ServiceId, ScheduledService> services = new HashMap<>();
    private final Set<ServiceId> dirty = new LinkedHashSet<>();
    private final Map<ServiceId, Map<ServerId, Integer>> newestShares = new ConcurrentHashMap<>();
    private final Set<ServiceId> changedShares = ConcurrentHashMap.newKeySet();
    private final Counter strayMessages;
    private final MessageReceiver receiver = new MessageReceiver();
    private final SlotMessages messages;
    private final SubmissionDispatcher dispatcher;
    private final ScheduleRefresher refresher;
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
        this.servers = Objects.requireNonNull(servers, "servers");
        this.changes = new FleetChangeTracker(members, servers, this::offerRefresh);
        this.ring =
                new DutyRing<>("schedule", ringCapacity, this::handle, this::tick, MAX_TICK_INTERVAL_NANOS, registry);
        messages = new SlotMessages(changes.owners(), new PeerSender(members, links, registry), receiver);
        dispatcher = new SubmissionDispatcher(
                services,
                changes::table,
                messages,
                random,
                this::advanceTickTo,
                ticket -> ring.offerAlways(new Cancelled(ticket)),
                registry);
        refresher =
                new ScheduleRefresher(services, members, changes, dispatcher, messages, random, this::advanceTickTo);
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
            ring.offer(new Task(now -> receiver.handleReport(senderOf(frame), report, now)));
        });
        router.addHandler(Frame.BodyCase.SLOT_GRANT, (frame, reply) -> {
            SlotGrant grant = SlotCodec.decode(frame.getSlotGrant());
            ring.offer(new Task(now -> receiver.handleGrant(senderOf(frame), grant, now)));
        });
        router.addHandler(Frame.BodyCase.SLOT_RECALL, (frame, reply) -> {
            SlotRecall recall = SlotCodec.decode(frame.getSlotRecall());
            ring.offer(new Task(now -> receiver.handleRecall(senderOf(frame), recall, now)));
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
        ring.offerAlways(new Task(now -> dispatcher.updateSuspects(update, now)));
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
            dispatcher.release(completed.ticket(), true, nowNanos);
        } else if (event instanceof Cancelled cancelled) {
            dispatcher.release(cancelled.ticket(), false, nowNanos);
        } else if (event instanceof Task task) {
            task.work().run(nowNanos);
        } else {
            closing = true;
            dispatcher.refuseAll(nowNanos);
        }
        messages.deliverToSelf();
    }

    private void tick(long nowNanos) {
        lastTickNanos = nowNanos;
        refresh(nowNanos);
        for (ScheduledService service : services.values()) {
            for (ScheduledPart part : service.parts()) {
                if (part.isDue(nowNanos)) {
                    if (part.ledger() != null) {
                        messages.sendAll(part.ledger().tick(nowNanos));
                    }
                    dispatcher.carryOut(service, part, part.pool().tick(nowNanos));
                }
                advanceTickTo(part.dueNanos());
            }
        }
        messages.deliverToSelf();
    }

    private void advanceTickTo(long deadlineNanos) {
        long earliestNanos = lastTickNanos + MIN_TICK_INTERVAL_NANOS;
        ring.advanceTickTo(deadlineNanos - earliestNanos < 0 ? earliestNanos : deadlineNanos);
    }

    private void accept(Submission submission, long nowNanos) {
        if (!closing && dirty.remove(submission.service())) {
            refresher.refresh(submission.service(), sharesOf(submission.service()), nowNanos);
        }
        dispatcher.accept(submission, nowNanos);
    }

    private Map<ServerId, Integer> sharesOf(ServiceId service) {
        return newestShares.getOrDefault(service, Map.of());
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
            refresher.refresh(service, sharesOf(service), nowNanos);
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

    /** Handles the slot messages that other daemons and this one send to this daemon. */
    private final class MessageReceiver implements SlotMessages.Receiver {
        @Override
        public void handleReport(IncarnationId daemon, SlotReport report, long nowNanos) {
            ScheduledPart part = findPart(report.service(), report.part());
            if (part == null || part.ledger() == null) {
                // The views of the sender and of this daemon name different owners. The sender repeats the report after
                // a
                // change of its view.
                strayMessages.increment();
                return;
            }
            messages.sendAll(part.ledger().onReport(daemon, report, nowNanos));
            advanceTickTo(part.updateDueNanos());
        }

        @Override
        public void handleGrant(IncarnationId owner, SlotGrant grant, long nowNanos) {
            ScheduledPart part = findPart(grant.service(), grant.part());
            if (part == null) {
                strayMessages.increment();
                return;
            }
            dispatcher.carryOut(services.get(grant.service()), part, part.pool().onGrant(owner, grant, nowNanos));
        }

        @Override
        public void handleRecall(IncarnationId owner, SlotRecall recall, long nowNanos) {
            ScheduledPart part = findPart(recall.service(), recall.part());
            if (part == null) {
                strayMessages.increment();
                return;
            }
            dispatcher.carryOut(
                    services.get(recall.service()), part, part.pool().onRecall(owner, recall, nowNanos));
        }
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
}
