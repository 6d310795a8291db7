package org.heatherreach.daemon;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Option;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.transport.http.CallerServer;
import org.heatherreach.transport.http.CrashFilter;
import org.heatherreach.transport.http.DaemonAddress;
import org.heatherreach.transport.http.Endpoint;
import org.heatherreach.transport.http.EndpointAnswer;
import org.heatherreach.transport.http.ExchangeObserver;
import org.heatherreach.transport.http.KeyedExecution;
import org.heatherreach.transport.http.LocalScheduler;
import org.heatherreach.transport.http.NaiveScheduler;
import org.heatherreach.transport.http.ProxyMode;
import org.heatherreach.transport.http.ProxyParts;
import org.heatherreach.transport.http.RequestScheduler;
import org.heatherreach.transport.http.ServingGate;
import org.heatherreach.transport.metric.RequestMeters;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * One running daemon: the request path wired from its settings. Safe for use by any thread.
 *
 * <p>Invariant: {@link #shutDown} aborts no request in flight.
 */
public final class HttpDaemon implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(HttpDaemon.class);
    private static final long POLL_MILLIS = 10;

    private final DaemonSettings settings;
    private final ServingGate gate = new ServingGate();
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final RequestMeters meters = new RequestMeters(registry);
    private final RequestScheduler scheduler;
    private final CallerServer server;
    private final AddressAnswer addressAnswer;

    /**
     * Starts a daemon.
     *
     * @param settings the checked settings
     * @param keyed guards requests with execution keys, if that part is present
     * @param observer receives evidence on servers
     * @param crashFilter knows requests that crash servers
     * @param furtherEndpoints endpoints of other parts, by method, a space and the path
     * @throws RuntimeException if the address can't be bound
     */
    public HttpDaemon(
            DaemonSettings settings,
            Option<KeyedExecution> keyed,
            ExchangeObserver observer,
            CrashFilter crashFilter,
            Map<String, Endpoint> furtherEndpoints) {
        this.settings = Objects.requireNonNull(settings, "settings");
        SettingsCatalog catalog = new SettingsCatalog(settings);
        long seed = settings.seed() != 0
                ? settings.seed()
                : ThreadLocalRandom.current().nextLong();
        SplittableRandom random = new SplittableRandom(seed);
        this.scheduler = settings.mode() == ProxyMode.NAIVE
                ? new NaiveScheduler(new java.util.Random(seed))
                : new LocalScheduler(catalog, random.split(), settings.scheduleRing());
        settings.services().forEach((service, entry) -> scheduler.changeServers(service, entry.servers()));
        IncarnationId incarnation =
                new IncarnationId(ThreadLocalRandom.current().nextLong());
        ProxyParts parts = new ProxyParts(
                settings.mode(),
                settings.limits(),
                gate,
                catalog,
                scheduler,
                keyed,
                observer,
                crashFilter,
                meters,
                incarnation,
                requestIds(incarnation));
        this.addressAnswer = new AddressAnswer(settings.addressKeepMillis());
        Map<String, Endpoint> endpoints = new LinkedHashMap<>(furtherEndpoints);
        endpoints.put("GET /heatherreach/health", (argument, body) -> Mono.just(health()));
        endpoints.put("GET /heatherreach/metrics", (argument, body) -> Mono.fromSupplier(this::scrape));
        endpoints.put(
                "GET /heatherreach/addresses",
                (argument, body) ->
                        Mono.just(EndpointAnswer.json(200, addressAnswer.text(System.currentTimeMillis()))));
        this.server = new CallerServer(settings.listen(), settings.ioThreads(), parts, endpoints);
        String host = settings.advertise().getAddress().getHostAddress();
        int port = settings.advertise().getPort() != 0 ? settings.advertise().getPort() : server.port();
        DaemonAddress own = new DaemonAddress(settings.daemon(), host, port, settings.zone());
        addressAnswer.use(new SettingsAddressBook(settings.addresses(), own, gate));
        LOG.infof("Daemon %s serves on %s:%d in mode %s", settings.daemon(), host, port(), settings.mode());
    }

    /** Returns the port for callers. */
    public int port() {
        return server.port();
    }

    /** Returns the counters, for tests and measurements. */
    public PrometheusMeterRegistry registry() {
        return registry;
    }

    /** Returns the scheduler, so that the owner of the server list can change it. */
    public RequestScheduler scheduler() {
        return scheduler;
    }

    /** Says whether the daemon is cut off from its peers and the store; new work is then refused. */
    public void setIsolated(boolean isolated) {
        if (gate.setIsolated(isolated)) {
            LOG.warnf("Daemon %s is %s", settings.daemon(), isolated ? "isolated and refuses new work" : "connected");
        }
    }

    /** Leaves the address list, serves until callers have forgotten the address, finishes what is in flight and ends. */
    public void shutDown() {
        if (!gate.leave()) {
            return;
        }
        LOG.infof("Daemon %s leaves and serves for another %d ms", settings.daemon(), settings.addressKeepMillis());
        sleep(settings.addressKeepMillis());
        gate.drain();
        LOG.infof("Daemon %s finishes %d requests in flight", settings.daemon(), meters.inFlight());
        long quietSince = System.nanoTime();
        double seen = requests();
        while (meters.inFlight() > 0
                || System.nanoTime() - quietSince < TimeUnit.MILLISECONDS.toNanos(settings.drainQuietMillis())) {
            sleep(POLL_MILLIS);
            double now = requests();
            if (meters.inFlight() > 0 || now != seen) {
                quietSince = System.nanoTime();
                seen = now;
            }
        }
        gate.stop();
        close();
        LOG.infof("Daemon %s has stopped", settings.daemon());
    }

    /** Ends at once. */
    @Override
    public void close() {
        gate.leave();
        server.close();
        scheduler.close();
    }

    private double requests() {
        return registry.find("heatherreach.requests").counters().stream()
                .mapToDouble(counter -> counter.count())
                .sum();
    }

    private EndpointAnswer health() {
        String state = gate.label();
        return EndpointAnswer.json(
                "serving".equals(state) ? 200 : 503,
                "{\"daemon\":\"" + settings.daemon() + "\",\"state\":\"" + state + "\",\"inFlight\":"
                        + meters.inFlight() + "}\n");
    }

    private EndpointAnswer scrape() {
        return new EndpointAnswer(
                200,
                "text/plain; version=0.0.4; charset=utf-8",
                registry.scrape().getBytes(StandardCharsets.UTF_8));
    }

    private static Supplier<RequestId> requestIds(IncarnationId incarnation) {
        AtomicLong sequence = new AtomicLong();
        String prefix = incarnation + "-";
        return () -> new RequestId(prefix + Long.toHexString(sequence.incrementAndGet()));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
