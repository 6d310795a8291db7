package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.coordination.health.EvidenceWindow;
import org.heatherreach.coordination.health.HealthReport;
import org.heatherreach.coordination.health.PooledHealth;
import org.heatherreach.coordination.health.VerdictList;
import org.heatherreach.protocol.peer.CrashCodec;
import org.heatherreach.protocol.peer.HealthCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.protocol.peer.wire.ProbeResult;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.state.table.Table;
import org.heatherreach.transport.http.CrashFilter;
import org.heatherreach.transport.http.ExchangeObserver;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.peer.PeerLinks;

/**
 * The duty that keeps the health of servers: takes the events of exchanges, probes, messages and changes of the fleet in
 * turn, and runs the periodic work. {@link HealthMessages} exchanges evidence and verdicts with other daemons,
 * {@link HealthPublisher} publishes the state of the servers.
 *
 * <p>Invariants: the end of an exchange and a drain notice are never lost; a change of the fleet is applied in short
 * slices, so that the ring is served between them. {@link #refuses} reads an immutable snapshot.
 *
 * <p>Thread safety: the public methods are safe for use by any thread; the state is confined to the duty thread.
 */
public final class HealthDuty implements ExchangeObserver, CrashFilter, AutoCloseable {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * The time limit of refreshes per tick, so that the ring is served between them after a change of every service.
     */
    private static final long REFRESH_SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final MemberDirectory members;
    private final ServerDirectory servers;
    private final DutyRing<Task> ring;
    private final ServerProber prober;
    private final FleetChangeTracker changes;
    private final PartOwners owners;
    private final Map<ServiceId, HealthService> services = new HashMap<>();
    private final Set<ServiceId> dirty = new LinkedHashSet<>();
    private final CrashTracker crashTracker;
    private final ExchangeTracker exchangeTracker;
    private final ProbeScheduler probeScheduler;
    private final HealthChanges healthChanges;
    private final HealthPublisher publisher;
    private final HealthMessages messages;
    private long lastReportNanos;
    private long lastSecondNanos;

    @FunctionalInterface
    private interface Task {
        void run(long nowNanos);
    }

    /**
     * Creates a duty; {@link #start} starts its thread.
     *
     * @param members the members of the fleet
     * @param servers the listed servers; they belong to this daemon's region
     * @param links carries messages to other daemons
     * @param listener is notified of changes of shares and suspects; usually the schedule duty
     * @param random the source of every random choice; used by the duty thread only
     * @param ringCapacity the number of events that the ring holds
     * @param registry the registry of the counters
     */
    public HealthDuty(
            MemberDirectory members,
            ServerDirectory servers,
            PeerLinks links,
            HealthListener listener,
            RandomGenerator random,
            int ringCapacity,
            MeterRegistry registry) {
        this.members = Objects.requireNonNull(members, "members");
        this.servers = Objects.requireNonNull(servers, "servers");
        PeerSender sender = new PeerSender(members, links, registry);
        this.changes = new FleetChangeTracker(members, servers, this::offerRefresh);
        this.owners = changes.owners();
        this.ring = new DutyRing<>(
                "health", ringCapacity, task -> task.run(System.nanoTime()), this::tick, TICK_NANOS, registry);
        crashTracker = new CrashTracker(services, owners, sender, this::confirmCrash, listener, random, registry);
        exchangeTracker = new ExchangeTracker(services, crashTracker);
        prober = new ServerProber(registry);
        probeScheduler = new ProbeScheduler(services, prober, random, this::offerProbeResult);
        healthChanges = new HealthChanges(registry);
        publisher = new HealthPublisher(listener, healthChanges);
        messages = new HealthMessages(services, members, owners, sender, publisher, healthChanges, registry);
    }

    /** Starts the thread and listens for changes of members and servers. */
    public void start() {
        changes.listen();
        ring.start();
    }

    /** Adds the handlers of messages on health and crashes. */
    public void register(FrameRouter router) {
        router.addHandler(Frame.BodyCase.HEALTH_REPORT, (frame, reply) -> {
            HealthReport report = HealthCodec.decode(frame.getHealthReport());
            List<ProbeResult> probes = frame.getHealthReport().getProbesList();
            List<ServerId> leaving = idsOf(frame.getHealthReport().getLeavingList());
            ring.offer(now -> messages.handleReport(senderOf(frame), report, probes, leaving, now));
        });
        router.addHandler(Frame.BodyCase.VERDICTS, (frame, reply) -> {
            VerdictList verdicts = HealthCodec.decode(frame.getVerdicts());
            List<ServerId> leaving = idsOf(frame.getVerdicts().getLeavingList());
            ring.offer(now -> messages.handleVerdicts(senderOf(frame), verdicts, leaving, now));
        });
        router.addHandler(Frame.BodyCase.CRASH_REPORT, (frame, reply) -> {
            CrashReport report = CrashCodec.decode(frame.getCrashReport());
            ring.offer(now -> crashTracker.handleReport(report, now));
        });
        router.addHandler(Frame.BodyCase.SUSPECT_UPDATE, (frame, reply) -> {
            SuspectUpdate update = CrashCodec.decode(frame.getSuspectUpdate());
            ring.offer(now -> crashTracker.handleSuspectUpdate(update, now));
        });
    }

    /** Puts a table in force. */
    public void changeTable(Table newTable) {
        changes.changeTable(newTable);
    }

    /** Returns the status of each listed server, ordered by service. */
    public List<ServerStatus> status() {
        return publisher.status();
    }

    @Override
    public boolean refuses(ServiceId service, long fingerprint) {
        return crashTracker.refuses(service, new Fingerprint(fingerprint));
    }

    @Override
    public void dispatched(ServiceId service, ServerId server, long fingerprint, long nowNanos) {
        // If a full ring refuses this event, the end of the exchange is still counted.
        ring.offer(now -> exchangeTracker.begin(service, new HealthService.ExchangeKey(server, fingerprint), nowNanos));
    }

    @Override
    public void answered(ServiceId service, ServerId server, long fingerprint, long nowNanos) {
        ring.offer(now -> exchangeTracker.responseHeadReceived(
                service, new HealthService.ExchangeKey(server, fingerprint), nowNanos));
    }

    @Override
    public void draining(ServiceId service, ServerId server) {
        ring.offerAlways(now -> markDraining(service, server, now));
    }

    @Override
    public void ended(ServiceId service, ServerId server, long fingerprint, ExchangeResult result, long nowNanos) {
        ring.offerAlways(now ->
                exchangeTracker.end(service, new HealthService.ExchangeKey(server, fingerprint), result, nowNanos));
    }

    /** Stops the thread and the probes. */
    @Override
    public void close() {
        ring.close();
        prober.close();
    }

    private static IncarnationId senderOf(Frame frame) {
        return new IncarnationId(frame.getSender());
    }

    private static List<ServerId> idsOf(Collection<String> names) {
        return names.stream().filter(name -> !name.isBlank()).map(ServerId::new).toList();
    }

    private void offerRefresh() {
        ring.offer(this::refresh);
    }

    private void tick(long nowNanos) {
        refresh(nowNanos);
        probeScheduler.startDue(nowNanos);
        if (nowNanos - lastReportNanos >= EvidenceWindow.INTERVAL_NANOS) {
            lastReportNanos = nowNanos;
            boolean secondElapsed = nowNanos - lastSecondNanos >= SECOND_NANOS;
            if (secondElapsed) {
                lastSecondNanos = nowNanos;
            }
            for (HealthService service : services.values()) {
                service.forEachAnswered(
                        exchange -> exchange.health().responseBodyReceived(exchange.number(), nowNanos));
                for (HealthPart part : service.parts()) {
                    tickPart(service, part, secondElapsed, nowNanos);
                }
                if (secondElapsed) {
                    service.withheldDeadlines().values().removeIf(deadline -> nowNanos - deadline >= 0);
                    publisher.publish(service, nowNanos);
                    crashTracker.publishRefused(service, nowNanos);
                }
            }
        }
        crashTracker.resendSuspectsIfDue(nowNanos);
    }

    private void tickPart(HealthService service, HealthPart part, boolean secondElapsed, long nowNanos) {
        if (part.leaving().expire(nowNanos)) {
            publisher.updateServers(service, part, nowNanos);
        }
        if (part.expireFaulty(nowNanos)) {
            healthChanges.recordSelfTrusted(part.id());
        }
        publisher.carryOut(service, part, part.health().tick(nowNanos), nowNanos);
        messages.report(part, secondElapsed ? part.leaving().observed() : Set.of(), nowNanos);
        if (part.outlierDetector() != null) {
            messages.detectOutliers(service, part, secondElapsed, nowNanos);
        }
    }

    private void confirmCrash(InetSocketAddress address, CrashTracker.ProbeListener probeListener) {
        prober.probe(address, result -> ring.offerAlways(now -> probeListener.onResult(result.answered(), now)));
    }

    private void offerProbeResult(ServiceId id, ServerId server, ServerProber.Result result) {
        ring.offerAlways(now -> handleProbeResult(id, server, result, now));
    }

    private void handleProbeResult(ServiceId id, ServerId server, ServerProber.Result result, long nowNanos) {
        probeScheduler.probeEnded();
        HealthService service = services.get(id);
        HealthPart part = service == null ? null : service.partOf(server);
        if (part == null) {
            return;
        }
        part.addProbeResult(server, result.healthy());
        // A server that is draining, or was draining and now fails its probes, gets no new work until a probe succeeds.
        if (result.draining() || !result.healthy() && part.leaving().isObserved(server)) {
            markDraining(id, server, nowNanos);
        }
    }

    private void markDraining(ServiceId id, ServerId server, long nowNanos) {
        HealthService service = services.get(id);
        HealthPart part = service == null ? null : service.partOf(server);
        if (part == null || service.listed().find(server) == null) {
            return;
        }
        if (part.leaving().markObserved(server, nowNanos)) {
            publisher.updateServers(service, part, nowNanos);
            messages.announceLeaving(part, server, nowNanos);
        }
    }

    private void refresh(long nowNanos) {
        if (changes.takeRefreshRequest() && changes.collectChangedServices(services.keySet(), dirty)) {
            probeScheduler.setDaemons(owners.liveZones(), members.self().zone());
            // New members have not received the suspects yet.
            crashTracker.requestResend(nowNanos);
        }
        Iterator<ServiceId> next = dirty.iterator();
        while (next.hasNext() && System.nanoTime() - nowNanos < REFRESH_SLICE_NANOS) {
            ServiceId service = next.next();
            next.remove();
            refreshService(service, nowNanos);
        }
    }

    private void refreshService(ServiceId id, long nowNanos) {
        ServiceLimits limits = changes.limits(id).getOrNull();
        if (limits == null) {
            if (services.remove(id) != null) {
                publisher.remove(id);
            }
            return;
        }
        HealthService service = services.computeIfAbsent(id, HealthService::new);
        service.listed().update(changes.listed(id));
        service.retainListed();
        List<HealthPart> parts = service.parts();
        while (parts.size() > service.listed().partCount()) {
            owners.remove(parts.remove(parts.size() - 1).id());
        }
        while (parts.size() < service.listed().partCount()) {
            int number = parts.size();
            parts.add(new HealthPart(
                    owners.partId(id, number),
                    new PooledHealth(id, number, members.self().zone(), limits),
                    limits));
        }
        for (HealthPart part : parts) {
            publisher.carryOut(service, part, part.updateLimits(limits, nowNanos), nowNanos);
            publisher.updateServers(service, part, nowNanos);
            IncarnationId owner = owners.owner(part.id()).orElse(null);
            part.updateOwner(owner, owner != null && owners.isSelf(owner), nowNanos);
        }
        crashTracker.updateCrashLog(service);
        probeScheduler.assign(service, members.self().incarnation());
        publisher.publish(service, nowNanos);
    }
}
