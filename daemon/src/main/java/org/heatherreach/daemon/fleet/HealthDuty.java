package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.coordination.health.DetectionResult;
import org.heatherreach.coordination.health.EvidenceWindow;
import org.heatherreach.coordination.health.HealthAction;
import org.heatherreach.coordination.health.HealthReport;
import org.heatherreach.coordination.health.PooledHealth;
import org.heatherreach.coordination.health.ProbePlan;
import org.heatherreach.coordination.health.ServerFailure;
import org.heatherreach.coordination.health.Verdict;
import org.heatherreach.coordination.health.VerdictList;
import org.heatherreach.protocol.peer.CrashCodec;
import org.heatherreach.protocol.peer.HealthCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.protocol.peer.wire.ProbeResult;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.state.table.Table;
import org.heatherreach.transport.http.CrashFilter;
import org.heatherreach.transport.http.ExchangeObserver;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.http.FailureKind;
import org.heatherreach.transport.peer.PeerLinks;
import org.jboss.logging.Logger;

/**
 * Collects evidence on servers, reports it to the owners of the service parts, judges the parts that this daemon owns,
 * and applies verdicts, drain answers and crash suspects.
 *
 * <p>Invariants: the end of an exchange and a drain answer are never lost; each change of the state of a server is
 * logged once and counted; shares are published when they change. {@link #refuses} reads an immutable snapshot.
 *
 * <p>Thread safety: the public methods are safe for use by any thread; the state is confined to the duty thread.
 */
public final class HealthDuty implements ExchangeObserver, CrashFilter, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(HealthDuty.class);

    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A change that concerns every service is spread over ticks, so that the ring is served meanwhile. */
    private static final long REFRESH_SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** The owner repeats its verdicts each second; three lost ones end the mark. */
    private static final long FAULTY_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** A server without traffic for longer than two probe intervals counts as idle. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double PROBE_JITTER_FROM = 0.75;
    private static final double PROBE_JITTER_SPREAD = 0.5;

    /** A probe takes 1 s at most, so this bounds the probes of a daemon to 64 a second if all of them time out. */
    private static final int MAX_PROBES = 64;

    private final MemberDirectory members;
    private final ServerDirectory servers;
    private final PeerSender sender;
    private final HealthListener listener;
    private final RandomGenerator random;
    private final MeterRegistry registry;
    private final DutyRing<Task> ring;
    private final ServerProber prober = new ServerProber();
    private final FleetChanges changes;
    private final PartOwners owners;
    private final Map<ServiceId, HealthService> services = new HashMap<>();
    private final Set<ServiceId> dirty = new LinkedHashSet<>();
    private final Map<ServiceId, List<ServerStatus>> status = new ConcurrentSkipListMap<>();
    private final Counter strayMessages;
    private final CrashTracker crashes;
    private ProbePlan probePlan = new ProbePlan(List.of());
    private int probesInFlight;
    private long reportNanos;
    private long secondNanos;

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
     * @param listener learns shares and suspects; usually the schedule duty
     * @param random the source of every random choice; used by the duty thread only
     * @param ringCapacity the number of events that may wait
     * @param registry takes the counters
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
        this.sender = new PeerSender(members, links, registry);
        this.listener = Objects.requireNonNull(listener, "listener");
        this.random = Objects.requireNonNull(random, "random");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.changes = new FleetChanges(members, servers, this::offerRefresh);
        this.owners = changes.owners();
        this.ring = new DutyRing<>(
                "health", ringCapacity, task -> task.run(System.nanoTime()), this::tick, TICK_NANOS, registry);
        strayMessages = registry.counter("heatherreach.health.stray.messages");
        crashes = new CrashTracker(services, owners, sender, this::confirmCrash, listener, random, registry);
        for (Change change : Change.values()) {
            counterOf(change);
        }
    }

    /** A change of the state of a server, or of this daemon as an observer. Each constant has its own counter. */
    private enum Change {
        EJECTED,
        RESTRICTED,
        READMITTED,
        WITHHELD,
        LEAVING,
        RETURNED,
        SELF_FAULTY,
        SELF_TRUSTED,
        OBSERVER_IGNORED,
        OBSERVER_HEARD;

        private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Starts the thread and listens for changes of members and servers. */
    public void start() {
        changes.listen();
        ring.start();
    }

    /** Adds the handlers of messages about health and crashes. */
    public void register(FrameRouter router) {
        router.handle(Frame.BodyCase.HEALTH_REPORT, (frame, reply) -> {
            HealthReport report = HealthCodec.decode(frame.getHealthReport());
            List<ProbeResult> probes = frame.getHealthReport().getProbesList();
            List<ServerId> leaving = idsOf(frame.getHealthReport().getLeavingList());
            ring.offer(now -> takeReport(senderOf(frame), report, probes, leaving, now));
        });
        router.handle(Frame.BodyCase.VERDICTS, (frame, reply) -> {
            VerdictList verdicts = HealthCodec.decode(frame.getVerdicts());
            List<ServerId> leaving = idsOf(frame.getVerdicts().getLeavingList());
            ring.offer(now -> takeVerdicts(senderOf(frame), verdicts, leaving, now));
        });
        router.handle(Frame.BodyCase.CRASH_REPORT, (frame, reply) -> {
            CrashReport report = CrashCodec.decode(frame.getCrashReport());
            ring.offer(now -> crashes.takeReport(report, now));
        });
        router.handle(Frame.BodyCase.SUSPECT_UPDATE, (frame, reply) -> {
            SuspectUpdate update = CrashCodec.decode(frame.getSuspectUpdate());
            ring.offer(now -> crashes.takeSuspects(update, now));
        });
    }

    /** Puts a table in force. */
    public void changeTable(Table newTable) {
        changes.changeTable(newTable);
    }

    /** Returns what is known about each listed server, by service. */
    public List<ServerStatus> status() {
        List<ServerStatus> all = new ArrayList<>();
        status.values().forEach(all::addAll);
        return all;
    }

    @Override
    public boolean refuses(ServiceId service, long fingerprint) {
        return crashes.refuses(service, new Fingerprint(fingerprint));
    }

    @Override
    public void dispatched(ServiceId service, ServerId server, long fingerprint, long nowNanos) {
        // If the ring is full, the end of the exchange still counts.
        ring.offer(now -> begin(service, new HealthService.Exchange(server, fingerprint), nowNanos));
    }

    @Override
    public void answered(ServiceId service, ServerId server, long fingerprint, long nowNanos) {
        ring.offer(now -> answer(service, new HealthService.Exchange(server, fingerprint), nowNanos));
    }

    @Override
    public void draining(ServiceId service, ServerId server) {
        ring.offerAlways(now -> sightLeaving(service, server, now));
    }

    @Override
    public void ended(ServiceId service, ServerId server, long fingerprint, ExchangeResult result, long nowNanos) {
        ring.offerAlways(now -> end(service, new HealthService.Exchange(server, fingerprint), result, nowNanos));
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
        startProbes(nowNanos);
        if (nowNanos - reportNanos >= EvidenceWindow.INTERVAL_NANOS) {
            reportNanos = nowNanos;
            boolean second = nowNanos - secondNanos >= SECOND_NANOS;
            if (second) {
                secondNanos = nowNanos;
            }
            for (HealthService service : services.values()) {
                service.forEachAnswered(open -> open.health().responseBodyReceived(open.number(), nowNanos));
                for (HealthPart part : service.parts()) {
                    tickPart(service, part, second, nowNanos);
                }
                if (second) {
                    service.withheldDeadlines().values().removeIf(deadline -> nowNanos - deadline >= 0);
                    publish(service, nowNanos);
                    crashes.publishRefused(service, nowNanos);
                }
            }
        }
        crashes.repeatSuspects(nowNanos);
    }

    private void tickPart(HealthService service, HealthPart part, boolean second, long nowNanos) {
        if (part.leaving().expire(nowNanos)) {
            updateServers(service, part, nowNanos);
        }
        if (part.expireFaulty(nowNanos)) {
            count(Change.SELF_TRUSTED);
            LOG.infof("The owner of %s uses the evidence of this daemon again", part.id());
        }
        carryOut(service, part, part.health().tick(nowNanos), nowNanos);
        report(part, second ? part.leaving().sighted() : Set.of(), nowNanos);
        if (part.judge() != null) {
            judge(service, part, second, nowNanos);
        }
    }

    private void report(HealthPart part, Collection<ServerId> leaving, long nowNanos) {
        Optional<HealthReport> report = part.health().collectReport(nowNanos);
        List<ProbeResult> probes = part.takeProbes();
        if (part.owner() == null || report.isEmpty() && probes.isEmpty() && leaving.isEmpty()) {
            return;
        }
        HealthReport full = report.orElseGet(() -> new HealthReport(
                part.id().service(), part.id().part(), members.self().zone(), List.of()));
        if (owners.isSelf(part.owner())) {
            takeReport(part.owner(), full, probes, List.copyOf(leaving), nowNanos);
            return;
        }
        var wire = HealthCodec.encode(full).toBuilder().addAllProbes(probes);
        leaving.forEach(server -> wire.addLeaving(server.value()));
        sender.send(part.owner(), Frame.newBuilder().setHealthReport(wire));
    }

    private void takeReport(
            IncarnationId observer,
            HealthReport report,
            List<ProbeResult> probes,
            List<ServerId> leaving,
            long nowNanos) {
        HealthPart part = findPart(report.service(), report.part());
        if (part == null || part.judge() == null) {
            strayMessages.increment();
            return;
        }
        if (!report.evidence().isEmpty()) {
            part.judge().addReport(observer, report, nowNanos);
        }
        for (ProbeResult probe : probes) {
            part.judge().addProbeResult(new ServerId(probe.getServer()), probe.getHealthy(), nowNanos);
        }
        if (!owners.isSelf(observer) && part.leaving().report(leaving, nowNanos)) {
            HealthService service = services.get(report.service());
            updateServers(service, part, nowNanos);
            announce(part, List.of(), Set.of(), nowNanos);
        }
    }

    private void judge(HealthService service, HealthPart part, boolean second, long nowNanos) {
        DetectionResult result = part.judge().tick(nowNanos);
        for (HealthAction action : result.actions()) {
            if (action instanceof HealthAction.ChangeObserver change) {
                count(change.ignored() ? Change.OBSERVER_IGNORED : Change.OBSERVER_HEARD);
                LOG.infof(
                        "The evidence of daemon %s on %s is %s",
                        change.observer(), part.id(), change.ignored() ? "ignored" : "used again");
            }
        }
        boolean leavingDue = second && !part.leaving().announceable().isEmpty();
        if (!result.verdicts().isEmpty() || !result.outliers().isEmpty() || leavingDue) {
            announce(part, result.verdicts(), result.outliers(), nowNanos);
        }
    }

    /** Sends verdicts and the draining servers to every daemon that they concern, this one included. */
    private void announce(HealthPart part, List<Verdict> verdicts, Set<IncarnationId> outliers, long nowNanos) {
        ServiceId service = part.id().service();
        Set<ServerId> leaving = part.leaving().announceable();
        var usual = HealthCodec.encode(new VerdictList(service, part.id().part(), verdicts, false)).toBuilder();
        leaving.forEach(server -> usual.addLeaving(server.value()));
        var outlier = usual.clone().setReceiverIsOutlier(true);
        for (IncarnationId peer : owners.peers()) {
            boolean isOutlier = outliers.contains(peer);
            if (!verdicts.isEmpty() || !leaving.isEmpty() || isOutlier) {
                sender.send(peer, Frame.newBuilder().setVerdicts(isOutlier ? outlier : usual));
            }
        }
        IncarnationId self = members.self().incarnation();
        takeVerdicts(
                self,
                new VerdictList(service, part.id().part(), verdicts, outliers.contains(self)),
                List.of(),
                nowNanos);
    }

    private void takeVerdicts(IncarnationId owner, VerdictList verdicts, List<ServerId> leaving, long nowNanos) {
        HealthPart part = findPart(verdicts.service(), verdicts.part());
        if (part == null) {
            strayMessages.increment();
            return;
        }
        HealthService service = services.get(verdicts.service());
        carryOut(service, part, part.health().apply(owner, verdicts, nowNanos), nowNanos);
        for (Verdict verdict : verdicts.verdicts()) {
            long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(verdict.validMillis());
            service.withheldDeadlines()
                    .computeIfPresent(
                            verdict.server(), (server, old) -> verdict.sharePercent() == 100 ? null : deadlineNanos);
        }
        if (part.leaving().announce(leaving, nowNanos)) {
            updateServers(service, part, nowNanos);
        }
    }

    private void begin(ServiceId id, HealthService.Exchange exchange, long nowNanos) {
        HealthService service = services.get(id);
        HealthPart part = service == null ? null : service.partOf(exchange.server());
        if (part == null) {
            return;
        }
        service.noteTraffic(exchange.server(), nowNanos);
        service.breaks().connectionOpened(exchange.server());
        service.begin(
                exchange, new HealthService.Open(part.health(), part.health().begin(exchange.server(), nowNanos)));
    }

    private void answer(ServiceId id, HealthService.Exchange exchange, long nowNanos) {
        HealthService service = services.get(id);
        HealthService.Open open = service == null ? null : service.findUnanswered(exchange);
        if (open != null) {
            open.answer(nowNanos);
        }
    }

    private void end(ServiceId id, HealthService.Exchange exchange, ExchangeResult result, long nowNanos) {
        HealthService service = services.get(id);
        HealthPart part = service == null ? null : service.partOf(exchange.server());
        if (part == null) {
            return;
        }
        HealthService.Open open = service.end(exchange);
        boolean known = open != null;
        if (!known) {
            // The beginning met a full ring.
            long beginNanos = nowNanos - result.latencyNanos();
            open = new HealthService.Open(part.health(), part.health().begin(exchange.server(), beginNanos));
            service.noteTraffic(exchange.server(), nowNanos);
        }
        record(open, result.failure(), nowNanos);
        Fingerprint request = new Fingerprint(exchange.fingerprint());
        if (known) {
            crashes.watchConnection(service, exchange.server(), request, result.failure(), nowNanos);
        }
        if (result.failure() == FailureKind.NONE || result.failure() == FailureKind.ERROR) {
            crashes.complete(service, request, nowNanos);
        }
    }

    private static void record(HealthService.Open open, FailureKind failure, long nowNanos) {
        PooledHealth health = open.health();
        switch (failure) {
            case NONE -> health.complete(open.number(), nowNanos);
            case ERROR -> fail(open, ServerFailure.ERROR, nowNanos);
            case TRUNCATED -> fail(open, ServerFailure.TRUNCATED, nowNanos);
            case STALLED -> fail(open, ServerFailure.STALLED, nowNanos);
            case CONNECT -> fail(open, ServerFailure.CONNECT, nowNanos);
            // A shed request was not run, so its short latency says nothing about the speed of the server.
            default -> health.cancel(open.number(), nowNanos);
        }
    }

    private static void fail(HealthService.Open open, ServerFailure kind, long nowNanos) {
        open.health().fail(open.number(), kind, nowNanos);
    }

    private void confirmCrash(InetSocketAddress address, CrashTracker.ProbeListener next) {
        prober.probe(address, result -> ring.offerAlways(now -> next.take(result.answered(), now)));
    }

    private void startProbes(long nowNanos) {
        for (HealthService service : services.values()) {
            for (ListedServer entry : service.assigned()) {
                if (probesInFlight >= MAX_PROBES) {
                    return;
                }
                ServerId server = entry.server().id();
                Long dueNanos = service.probeDeadlines().get(server);
                if (dueNanos != null && nowNanos - dueNanos < 0) {
                    continue;
                }
                double factor = dueNanos == null
                        ? random.nextDouble()
                        : PROBE_JITTER_FROM + PROBE_JITTER_SPREAD * random.nextDouble();
                service.probeDeadlines().put(server, nowNanos + (long) (SECOND_NANOS * factor));
                boolean unused =
                        service.shares().getOrDefault(server, 100) == 0 || service.isIdle(server, IDLE_NANOS, nowNanos);
                if (dueNanos != null && unused) {
                    probesInFlight++;
                    ServiceId id = service.id();
                    prober.probe(
                            entry.server().address(),
                            result -> ring.offerAlways(now -> takeProbe(id, server, result, now)));
                }
            }
        }
    }

    private void takeProbe(ServiceId id, ServerId server, ServerProber.Result result, long nowNanos) {
        probesInFlight--;
        HealthService service = services.get(id);
        HealthPart part = service == null ? null : service.partOf(server);
        if (part == null) {
            return;
        }
        part.addProbe(server, result.healthy());
        // A server that is draining or gone gets no new work until a probe shows that it serves again.
        if (result.draining() || !result.healthy() && part.leaving().isSighted(server)) {
            sightLeaving(id, server, nowNanos);
        }
    }

    private void sightLeaving(ServiceId id, ServerId server, long nowNanos) {
        HealthService service = services.get(id);
        HealthPart part = service == null ? null : service.partOf(server);
        if (part == null || service.listed().find(server) == null) {
            return;
        }
        if (part.leaving().sight(server, nowNanos)) {
            updateServers(service, part, nowNanos);
            if (part.judge() != null) {
                announce(part, List.of(), Set.of(), nowNanos);
            } else if (part.owner() != null) {
                report(part, Set.of(server), nowNanos);
            }
        }
    }

    private void refresh(long nowNanos) {
        if (changes.takeWanted() && changes.collect(services.keySet(), dirty)) {
            ZoneId zone = members.self().zone();
            probePlan = new ProbePlan(owners.liveZones().entrySet().stream()
                    .filter(entry -> entry.getValue().equals(zone))
                    .map(Map.Entry::getKey)
                    .toList());
            // New members know no suspects.
            crashes.wantRepetition(nowNanos);
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
                status.remove(id);
                listener.changeShares(id, Map.of());
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
            carryOut(service, part, part.updateLimits(limits, nowNanos), nowNanos);
            updateServers(service, part, nowNanos);
            IncarnationId owner = owners.owner(part.id()).orElse(null);
            part.updateOwner(owner, owner != null && owners.isSelf(owner), nowNanos);
        }
        crashes.updateOwner(service);
        assignProbes(service);
        publish(service, nowNanos);
    }

    private void assignProbes(HealthService service) {
        List<ServerId> ids = new ArrayList<>();
        service.listed().servers().forEach(entry -> ids.add(entry.server().id()));
        Set<ServerId> own = new HashSet<>(probePlan.serversOf(members.self().incarnation(), ids));
        service.assign(service.listed().servers().stream()
                .filter(entry -> own.contains(entry.server().id()))
                .toList());
    }

    private void updateServers(HealthService service, HealthPart part, long nowNanos) {
        Set<ServerId> ids = new HashSet<>();
        Set<ServerId> listedLeaving = new HashSet<>();
        for (ListedServer entry : service.listed().serversOf(part.id().part())) {
            ids.add(entry.server().id());
            if (entry.leaving()) {
                listedLeaving.add(entry.server().id());
            }
        }
        Set<ServerId> before = part.unavailable();
        List<HealthAction> actions = part.updateServers(ids, listedLeaving, nowNanos);
        for (ServerId server : part.unavailable()) {
            if (!before.contains(server)) {
                note(service, server, Change.LEAVING, "gets no new work because it is leaving");
            }
        }
        for (ServerId server : before) {
            if (!part.unavailable().contains(server) && ids.contains(server)) {
                note(service, server, Change.RETURNED, "gets work again because it is no longer leaving");
            }
        }
        carryOut(service, part, actions, nowNanos);
        publish(service, nowNanos);
    }

    private void carryOut(HealthService service, HealthPart part, List<HealthAction> actions, long nowNanos) {
        noteAll(service, part, actions, nowNanos);
        if (!actions.isEmpty()) {
            publish(service, nowNanos);
        }
    }

    private void noteAll(HealthService service, HealthPart part, List<HealthAction> actions, long nowNanos) {
        for (HealthAction action : actions) {
            if (action instanceof HealthAction.ChangeShare change) {
                Change kind = change.afterPercent() == 0
                        ? Change.EJECTED
                        : change.afterPercent() == 100 ? Change.READMITTED : Change.RESTRICTED;
                service.withheldDeadlines().remove(change.server());
                note(
                        service,
                        change.server(),
                        kind,
                        kind.label + ", share from " + change.beforePercent() + " to " + change.afterPercent() + " %: "
                                + change.evidence());
            } else if (action instanceof HealthAction.WithholdEjection withhold) {
                service.withheldDeadlines().put(withhold.server(), nowNanos + FAULTY_NANOS);
                note(
                        service,
                        withhold.server(),
                        Change.WITHHELD,
                        "not ejected because of the floor: " + withhold.evidence());
            } else if (action instanceof HealthAction.ReportSelfFaulty) {
                if (part.noteFaulty(nowNanos + FAULTY_NANOS)) {
                    count(Change.SELF_FAULTY);
                    LOG.warnf("The owner of %s ignores the evidence of this daemon as faulty", part.id());
                }
            }
        }
    }

    private void note(HealthService service, ServerId server, Change change, String text) {
        count(change);
        service.note(server, text);
        LOG.infof("Server %s of service %s: %s", server, service.id(), text);
    }

    private void publish(HealthService service, long nowNanos) {
        for (HealthPart part : service.parts()) {
            // Reading a share ends what has expired, without telling what that was.
            noteAll(service, part, part.health().tick(nowNanos), nowNanos);
        }
        if (service.updateShares(nowNanos)) {
            listener.changeShares(service.id(), service.shares());
        }
        status.put(service.id(), service.status());
    }

    private HealthPart findPart(ServiceId id, int part) {
        HealthService service = services.get(id);
        return service == null || part < 0 || part >= service.parts().size()
                ? null
                : service.parts().get(part);
    }

    private void count(Change change) {
        counterOf(change).increment();
    }

    private Counter counterOf(Change change) {
        return registry.counter("heatherreach.health.changes", "change", change.label);
    }
}
