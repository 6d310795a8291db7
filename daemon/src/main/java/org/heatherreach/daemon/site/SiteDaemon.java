package org.heatherreach.daemon.site;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.coordination.watch.ReaderPlan;
import org.heatherreach.daemon.RequestIdSource;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.peer.wire.DaemonEntry;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.CallDialect;
import org.heatherreach.transport.http.CallerServer;
import org.heatherreach.transport.http.EndpointResponse;
import org.heatherreach.transport.http.EndpointServer;
import org.heatherreach.transport.http.MemoryBudget;
import org.heatherreach.transport.http.MemoryGauges;
import org.heatherreach.transport.http.PooledScheduler;
import org.heatherreach.transport.http.ProxyLimits;
import org.heatherreach.transport.http.ProxyMode;
import org.heatherreach.transport.http.ProxyParts;
import org.heatherreach.transport.http.RequestHistory;
import org.heatherreach.transport.http.ServingGate;
import org.heatherreach.transport.kv.KeyFollower;
import org.heatherreach.transport.kv.KeyValueStore;
import org.heatherreach.transport.metric.RequestMeters;
import org.heatherreach.transport.peer.PacketSocket;
import org.heatherreach.transport.peer.PeerCounters;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * The daemon of a site: the request path with the routing table, servers and peers from the key-value store.
 *
 * <p>Invariants: the directory lists this daemon only until its shutdown begins; a graceful shutdown aborts no request
 * that can still be answered before the end of the grace period.
 *
 * <p>Thread safety: {@link #shutDown} is called once, by any thread.
 */
public final class SiteDaemon {
    private static final Logger LOG = Logger.getLogger(SiteDaemon.class);
    private static final int IO_THREADS = 1;
    private static final int RING_CAPACITY = 16_384;
    private static final int REQUEST_HISTORY_ENTRIES = 512;
    /** The interval between checks for expired registrations of servers and for an outdated view of the store. */
    private static final long STORE_CHECK_INTERVAL_MILLIS = 100;

    private static final long CLOCK_CHECK_INTERVAL_MILLIS = 250;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;
    private static final int MAX_RETAINED_BODY_BYTES = 1024 * 1024;
    private static final int HEAD_TIMEOUT_MILLIS = 10_000;
    private static final int STALL_TIMEOUT_MILLIS = 15_000;
    /**
     * Servers are at most a few milliseconds away, and an unreachable server must use up little of a request's time.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private static final int IDLE_TIMEOUT_MILLIS = 20_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_CALLER_CONNECTIONS = 5_000;

    private final SiteSettings settings;
    private final ServingGate gate = new ServingGate();
    private final MemoryBudget memory = MemoryBudget.ofHeap();
    private final MemoryMonitor memoryMonitor = new MemoryMonitor(memory, memory::refusals, System::nanoTime);
    private final StoreView view;
    private final TableInUse table;
    private final ServerRegistry servers;
    private final DaemonRegistry daemons;
    private final PooledScheduler scheduler;
    private final RequestMeters meters;
    private final PrometheusMeterRegistry meterRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PacketSocket<PoolUpdate> socket;
    private final Option<SiteQuotas> quotas;
    private final PeriodicTasks tasks = new PeriodicTasks();
    private volatile CallerServer callerServer;

    /**
     * Starts a daemon.
     *
     * @param settings the validated settings
     * @param storeClient the client of the key-value store
     * @param codec the formats of the site
     * @param dialects creates the dialect of callers and servers
     * @throws RuntimeException if an address can't be bound
     */
    public SiteDaemon(SiteSettings settings, KeyValueStore storeClient, SiteCodec codec, DialectFactory dialects) {
        this.settings = Objects.requireNonNull(settings, "settings");
        KeyValueStore store = new MeteredStore(storeClient, meterRegistry);
        EventLoop peerLoop = group.next();
        ReaderEndpoint readerEndpoint = new ReaderEndpoint(peerLoop, meterRegistry, System::nanoTime);
        ZoneReaderStore readers = createReaders(store, readerEndpoint.cache(), peerLoop);
        view = new StoreView(readers, settings.changeBoundMillis(), System::nanoTime);
        SplittableRandom random =
                new SplittableRandom(ThreadLocalRandom.current().nextLong());
        IncarnationId incarnation = new IncarnationId(random.nextLong() | 1);
        meters = new RequestMeters(meterRegistry);
        MemoryGauges.register(meterRegistry, memory);
        table = new TableInUse(codec, settings.routesBoundMillis(), System::nanoTime);
        meterRegistry.gauge("heatherreach.table.newer.age.seconds", table, TableInUse::newerAgeSeconds);
        meterRegistry.gauge("heatherreach.table.version", table, TableInUse::version);
        meterRegistry.gauge("heatherreach.store.era", view, StoreView::era);
        meterRegistry.gauge(
                "heatherreach.store.revision", view, read -> read.revision().revision());
        meterRegistry.gauge(
                "heatherreach.store.peers.revision",
                view,
                read -> read.peerRevision().revision());
        meterRegistry.gauge("heatherreach.store.view.age.seconds", view, StoreView::ageSeconds);
        daemons = new DaemonRegistry(store, entryOf(settings, incarnation));
        socket = new PacketSocket<>(group, new PeerCounters(meterRegistry), PoolUpdate.parser());
        ZoneForwarding forwarding = new ZoneForwarding(daemons, socket::send, random.split(), meterRegistry);
        PeerUpdateSender sender = new PeerUpdateSender(
                socket, daemons, forwarding, view, table::version, this::retryUsage, random.split());
        scheduler = new PooledScheduler(settings.zone(), random.split(), RING_CAPACITY, sender, settings.pools());
        if (settings.pools().measuresWork()) {
            WorkGauges.register(meterRegistry, scheduler);
        }
        if (settings.pools().fairShare()) {
            ShareCounters.register(meterRegistry, scheduler);
        }
        servers = new ServerRegistry(codec, scheduler::changePool, System::nanoTime);
        meterRegistry.gauge("heatherreach.registrations.skipped", servers, ServerRegistry::skippedCount);
        StoredRefusals refusals = new StoredRefusals(store, new Random(random.nextLong()), System::nanoTime);
        meterRegistry.gauge("heatherreach.refused.requests", refusals, StoredRefusals::recordedCount);
        CrashMonitor crashes = new CrashMonitor(
                new ConnectProbe(group, servers::address),
                sender,
                refusals,
                new Random(random.nextLong()),
                System::nanoTime);
        TableFetcher tableFetcher = createTableFetcher(peerLoop);
        quotas = settings.quotas()
                .map(enforced ->
                        new SiteQuotas(enforced, store, daemons, table, sender, meterRegistry, System::nanoTime));
        PeerUpdateReceiver receiver =
                new PeerUpdateReceiver(scheduler, crashes, sender, view, table, tableFetcher, forwarding);
        Counter droppedLines = meterRegistry.counter("heatherreach.log.lines.dropped");
        RequestIdSource requestIds = new RequestIdSource(incarnation);
        CallDialect dialect = dialects.create(table, requestIds);
        ProxyParts parts = new ProxyParts(
                dialect,
                ProxyMode.FLEET,
                proxyLimits(),
                gate,
                new SiteCatalog(table, settings, daemons::zoneShare, receiver::retries),
                scheduler,
                Option.none(),
                crashes,
                crashes,
                meters,
                incarnation,
                requestIds,
                new RequestHistory(REQUEST_HISTORY_ENTRIES, new RequestLog(droppedLines::increment)),
                SiteQuotas.admission(quotas),
                memory);
        socket.bind(
                settings.peer().getAddress().getHostAddress(),
                settings.peer().getPort(),
                SiteQuotas.receiveBefore(receiver, quotas));
        Map<String, KeyFollower.Listener> listeners = new HashMap<>(Map.of(
                codec.operatorPrefix(),
                table,
                codec.serverPrefix(),
                servers,
                StoredRefusals.PREFIX,
                refusals,
                DaemonRegistry.PREFIX,
                daemons));
        quotas.forEach(enforced -> enforced.follow(listeners));
        SiteKeys keys = new SiteKeys(listeners, view);
        new KeyFollower(readers, KeyRange.ALL, new Random(random.nextLong()), keys).start();
        daemons.start();
        TableServer tableServer = new TableServer(
                group, settings.peer(), table, readerEndpoint, readers::isReader, meterRegistry, System::nanoTime);
        tasks.add(
                STORE_CHECK_INTERVAL_MILLIS,
                servers::removeExpired,
                view::reconnectIfBehind,
                () -> readers.checkZone(daemons),
                tableServer::startIfNeeded,
                memoryMonitor::check);
        quotas.forEach(enforced -> tasks.add(STORE_CHECK_INTERVAL_MILLIS, enforced::check));
        SuspensionDetector suspensions =
                new SuspensionDetector(System::nanoTime, System::currentTimeMillis, scheduler::recordSuspension);
        tasks.add(CLOCK_CHECK_INTERVAL_MILLIS, suspensions::check);
        callerServer = new CallerServer(settings.front(), IO_THREADS, parts, Map.of());
        EndpointServer endpoints = new EndpointServer();
        endpoints.bind(settings.readiness(), target -> answerReadiness(codec, target));
        endpoints.bind(settings.directory(), target -> answerDirectory(codec, target));
        RouteExplainer explainer = new RouteExplainer(table, dialect, gate, MAX_BODY_BYTES, scheduler, quotas);
        endpoints.bindDeferred(settings.metrics(), target -> answerMetrics(explainer, target));
        LOG.infof("daemon=%s state=started incarnation=%s front=%s", settings.daemon(), incarnation, settings.front());
    }

    /** Returns the port for callers. */
    public int frontPort() {
        return callerServer.port();
    }

    /**
     * Shuts down gracefully: leaves the directory, serves until no caller still keeps this daemon's address, then
     * refuses new requests and waits for those in flight. Requests that were not passed on to a server are refused in
     * time, and every request that was read has a response before its connection ends, see {@link ShutdownDeadlines}.
     */
    public void shutDown() {
        ShutdownDeadlines deadlines =
                ShutdownDeadlines.of(System.nanoTime(), settings.graceMillis(), settings.addressKeepMillis());
        if (!gate.leave()) {
            return;
        }
        LOG.infof("daemon=%s state=leaving in-flight=%d", settings.daemon(), meters.inFlight());
        daemons.leave();
        quotas.forEach(SiteQuotas::release);
        gate.drain();
        while (!deadlines.isOver(System.nanoTime(), meters.inFlight())) {
            if (deadlines.refusesNewRequests(System.nanoTime())) {
                gate.stop();
            }
            if (deadlines.refusesWaitingRequests(System.nanoTime())) {
                scheduler.stopDispatching();
                callerServer.refuseUnassigned();
            }
            sleep();
        }
        gate.stop();
        callerServer.finish(deadlines.closeNanos());
        daemons.close();
        quotas.forEach(SiteQuotas::close);
        sleep();
        LOG.infof("daemon=%s state=stopped in-flight=%d", settings.daemon(), meters.inFlight());
    }

    private ZoneReaderStore createReaders(KeyValueStore store, ReaderCache cache, EventLoop loop) {
        ReaderPlan plan = new ReaderPlan(settings.daemon(), settings.readerZoneSize(), settings.changeBoundMillis());
        ZoneReaderStore readers = new ZoneReaderStore(
                store,
                plan,
                cache,
                new ReaderClient(loop, System::nanoTime),
                Schedulers.parallel().createWorker(),
                meterRegistry,
                System::nanoTime);
        meterRegistry.gauge("heatherreach.reader.serving", readers, reader -> reader.isReader() ? 1 : 0);
        meterRegistry.gauge("heatherreach.reader.followed", readers, reader -> reader.followsReader() ? 1 : 0);
        return readers;
    }

    private TableFetcher createTableFetcher(EventLoop loop) {
        return new TableFetcher(
                loop,
                table,
                daemons::peer,
                new TableClient(loop)::fetch,
                Schedulers.parallel()::schedule,
                meterRegistry,
                System::nanoTime);
    }

    private Map<ServiceId, RetryUsage> retryUsage() {
        CallerServer started = callerServer;
        return started == null ? Map.of() : started.retryUsage();
    }

    private EndpointResponse answerReadiness(SiteCodec codec, String target) {
        if (!target.startsWith(codec.readinessPath())) {
            return EndpointResponse.text(404, "not found\n");
        }
        if (!memoryMonitor.isReady()) {
            return EndpointResponse.text(503, "out of memory for requests\n");
        }
        return EndpointResponse.text(gate.isListed() && isSiteLoaded() ? 200 : 503, gate.label() + "\n");
    }

    private Mono<EndpointResponse> answerMetrics(RouteExplainer explainer, String target) {
        return RouteExplainer.isTarget(target)
                ? explainer.answer(target)
                : Mono.just(EndpointResponse.text(200, meterRegistry.scrape()));
    }

    private EndpointResponse answerDirectory(SiteCodec codec, String target) {
        if (!target.startsWith(codec.directoryPath())) {
            return EndpointResponse.text(404, "not found\n");
        }
        if (!isSiteLoaded()) {
            // Until the other daemons are known, callers should ask another daemon or keep their current addresses.
            return EndpointResponse.text(503, "the site is not known yet\n");
        }
        byte[] body = codec.encodeAddresses(daemons.addresses(codec.callerZone(target)), settings.addressKeepMillis());
        return EndpointResponse.json(200, new String(body, StandardCharsets.UTF_8));
    }

    private boolean isSiteLoaded() {
        return table.table().isDefined() && servers.isLoaded() && daemons.isLoaded();
    }

    private static DaemonEntry entryOf(SiteSettings settings, IncarnationId incarnation) {
        return DaemonEntry.newBuilder()
                .setName(settings.daemon().value())
                .setZone(settings.zone().value())
                .setRegion(settings.region().value())
                .setHost(settings.front().getAddress().getHostAddress())
                .setFrontPort(settings.front().getPort())
                .setPeerPort(settings.peer().getPort())
                .setIncarnation(incarnation.value())
                .build();
    }

    /**
     * Returns the limits that apply before the operator's limits are known; the operator's limits can only be stricter.
     */
    private static ProxyLimits proxyLimits() {
        return new ProxyLimits(
                MAX_HEAD_BYTES,
                MAX_BODY_BYTES,
                MAX_RETAINED_BODY_BYTES,
                MAX_RETAINED_BODY_BYTES,
                HEAD_TIMEOUT_MILLIS,
                STALL_TIMEOUT_MILLIS,
                CONNECT_TIMEOUT_MILLIS,
                IDLE_TIMEOUT_MILLIS,
                MAX_ATTEMPTS,
                MAX_CALLER_CONNECTIONS,
                false);
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
