package org.heatherreach.daemon;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.CallerServer;
import org.heatherreach.transport.http.Endpoint;
import org.heatherreach.transport.http.EndpointResponse;
import org.heatherreach.transport.http.MemoryBudget;
import org.heatherreach.transport.http.MemoryGauges;
import org.heatherreach.transport.http.NativeDialect;
import org.heatherreach.transport.http.ProxyParts;
import org.heatherreach.transport.http.RequestScheduler;
import org.heatherreach.transport.http.WorkspaceAdmission;
import org.heatherreach.transport.metric.RequestMeters;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * A running daemon: the request path, built from its settings and components. Safe for use by any thread.
 *
 * <p>Invariant: {@link #shutDown} aborts no request in flight.
 */
public final class HttpDaemon implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(HttpDaemon.class);
    private static final long POLL_INTERVAL_MILLIS = 10;
    /** Time for callers to close the connections that are left. */
    private static final long FINISH_MILLIS = 500;

    private final DaemonSettings settings;
    private final DaemonParts parts;
    private final RequestMeters meters;
    private final CallerServer server;
    private final AddressAnswer addressAnswer;

    /**
     * Starts a daemon.
     *
     * @param settings the validated settings
     * @param parts the components of the request path
     * @throws RuntimeException if the address can't be bound
     */
    public HttpDaemon(DaemonSettings settings, DaemonParts parts) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.meters = new RequestMeters(parts.registry());
        MemoryBudget memory = MemoryBudget.ofHeap();
        MemoryGauges.register(parts.registry(), memory);
        ProxyParts proxyParts = new ProxyParts(
                new NativeDialect(
                        parts.catalog(), parts.requestIds(), settings.limits().attempts()),
                settings.mode(),
                settings.limits(),
                parts.gate(),
                parts.catalog(),
                parts.scheduler(),
                parts.keyed(),
                parts.observer(),
                parts.crashFilter(),
                meters,
                parts.incarnation(),
                parts.requestIds(),
                parts.history(),
                WorkspaceAdmission.NONE,
                memory);
        this.addressAnswer = new AddressAnswer(settings.addressKeepMillis());
        Map<String, Endpoint> endpoints = new LinkedHashMap<>(parts.endpoints());
        endpoints.put("GET /heatherreach/health", (argument, body) -> Mono.just(health()));
        endpoints.put("GET /heatherreach/metrics", (argument, body) -> Mono.fromSupplier(this::scrape));
        endpoints.put("GET /heatherreach/addresses", (argument, body) -> Mono.just(addresses("")));
        endpoints.put("GET /heatherreach/addresses/", (argument, body) -> Mono.just(addresses(argument)));
        this.server = new CallerServer(settings.listen(), settings.ioThreads(), proxyParts, endpoints);
        addressAnswer.setAddressBook(parts.addressBook().apply(server.port()));
        LOG.infof(
                "Daemon %s is listening on %s:%d in mode %s",
                settings.daemon(), settings.listen().getAddress().getHostAddress(), port(), settings.mode());
    }

    /** Returns the port for callers. */
    public int port() {
        return server.port();
    }

    /** Returns the meter registry, for tests and benchmarks. */
    public PrometheusMeterRegistry registry() {
        return parts.registry();
    }

    /** Returns the scheduler, so that the source of the server list can update the servers. */
    public RequestScheduler scheduler() {
        return parts.scheduler();
    }

    /** Sets whether the daemon is isolated from its peers and the store; an isolated daemon refuses new requests. */
    public void setIsolated(boolean isolated) {
        if (parts.gate().setIsolated(isolated)) {
            LOG.warnf(
                    "Daemon %s is %s", settings.daemon(), isolated ? "isolated and refuses new requests" : "connected");
        }
    }

    /**
     * Shuts down gracefully: leaves the address list, serves until no caller may still keep this daemon's address, then
     * waits until no request is in flight and none arrives for the configured quiet time.
     */
    public void shutDown() {
        if (!parts.gate().leave()) {
            return;
        }
        LOG.infof(
                "Daemon %s is leaving the address list and serves for another %d ms",
                settings.daemon(), settings.addressKeepMillis());
        sleep(settings.addressKeepMillis());
        parts.gate().drain();
        LOG.infof("Daemon %s is draining with %d requests in flight", settings.daemon(), meters.inFlight());
        long quietSinceNanos = System.nanoTime();
        double lastCount = requestCount();
        while (meters.inFlight() > 0
                || System.nanoTime() - quietSinceNanos < TimeUnit.MILLISECONDS.toNanos(settings.drainQuietMillis())) {
            sleep(POLL_INTERVAL_MILLIS);
            double currentCount = requestCount();
            if (meters.inFlight() > 0 || currentCount != lastCount) {
                quietSinceNanos = System.nanoTime();
                lastCount = currentCount;
            }
        }
        parts.gate().stop();
        // A request that was accepted just before is served as well.
        while (meters.inFlight() > 0) {
            sleep(POLL_INTERVAL_MILLIS);
        }
        server.finish(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINISH_MILLIS));
        close();
        LOG.infof("Daemon %s has stopped", settings.daemon());
    }

    /** Stops at once, without waiting for requests in flight. */
    @Override
    public void close() {
        parts.gate().leave();
        server.close();
        parts.scheduler().close();
    }

    private double requestCount() {
        return parts.registry().find("heatherreach.requests").counters().stream()
                .mapToDouble(counter -> counter.count())
                .sum();
    }

    private EndpointResponse health() {
        String state = parts.gate().label();
        return EndpointResponse.json(
                "serving".equals(state) ? 200 : 503,
                "{\"daemon\":\"" + settings.daemon() + "\",\"state\":\"" + state + "\",\"inFlight\":"
                        + meters.inFlight() + "}\n");
    }

    private EndpointResponse addresses(String service) {
        Option<ServiceId> serviceId = service.isBlank() ? Option.none() : Option.of(new ServiceId(service));
        return EndpointResponse.json(200, addressAnswer.toJson(serviceId, System.currentTimeMillis()));
    }

    private EndpointResponse scrape() {
        return new EndpointResponse(
                200,
                "text/plain; version=0.0.4; charset=utf-8",
                parts.registry().scrape().getBytes(StandardCharsets.UTF_8));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
