package org.heatherreach.bench;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.vavr.control.Option;
import org.HdrHistogram.Histogram;
import org.heatherreach.daemon.DaemonSettings;
import org.heatherreach.daemon.HttpDaemon;
import org.heatherreach.daemon.LogFormat;
import org.heatherreach.daemon.LogLevel;
import org.heatherreach.daemon.ServiceSettings;
import org.heatherreach.daemon.StandaloneParts;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.BackendServer;
import org.heatherreach.transport.http.ProxyLimits;
import org.heatherreach.transport.http.ProxyMode;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Measures the latency that one daemon adds, at a steady rate and with callers that send as fast as they are answered.
 * At the steady rate a request counts from the time at which it was due, so that a stall delays those behind it in the
 * figures too. Each round sends the same requests directly to a backend, through the naive
 * daemon and through the product, so that a drift of the machine meets all three alike.
 */
public final class LatencyBenchmark implements Benchmark {
    private static final ServiceId SERVICE = new ServiceId("shop");
    private static final int ROUNDS = 5;
    private static final int WARM_UP_REQUESTS = 20_000;
    private static final int REQUESTS = 6_000;
    // About seven times the share of one daemon at the size of section 1.4: 120,000 requests/s over 880 daemons.
    private static final int STEADY_REQUESTS = 3_000;
    private static final int STEADY_PER_SECOND = 1_000;
    private static final int CONCURRENCY = 8;
    private static final int CONNECTIONS = 64;
    private static final int BODY_BYTES = 1024;
    private static final int SERVERS = 3;
    private static final long HIGHEST_NANOS = Duration.ofSeconds(30).toNanos();

    @Override
    public String name() {
        return "latency";
    }

    @Override
    public String description() {
        return "latency of direct requests, and of requests through the naive daemon and through the product";
    }

    @Override
    public void run(long seed, BenchReport report) throws BenchException {
        LoopResources loops = LoopResources.create("bench", 1, 2, true);
        DisposableServer backend = backend(loops);
        ConnectionProvider pool = ConnectionProvider.builder("bench")
                .maxConnections(CONNECTIONS)
                // A pause of the machine may make every request of the steady rate wait; none is dropped for that.
                .pendingAcquireMaxCount(-1)
                .build();
        try (HttpDaemon naive = daemon(ProxyMode.NAIVE, backend.port(), seed);
                HttpDaemon product = daemon(ProxyMode.FLEET, backend.port(), seed)) {
            Map<String, Integer> ports =
                    Map.of("direct", backend.port(), "baseline", naive.port(), "product", product.port());
            List<String> variants = List.of("direct", "baseline", "product");
            for (String variant : variants) {
                load(client(pool, loops, ports.get(variant)), WARM_UP_REQUESTS, histogram());
            }
            Map<String, Histogram> steady = histograms(variants);
            Map<String, Histogram> saturated = histograms(variants);
            for (int round = 0; round < ROUNDS; round++) {
                for (String variant : variants) {
                    HttpClient client = client(pool, loops, ports.get(variant));
                    pace(client, steady.get(variant));
                    load(client, REQUESTS, saturated.get(variant));
                }
            }
            for (String variant : variants) {
                add(report, STEADY_PER_SECOND + " requests/s", variant, steady);
                add(report, CONCURRENCY + " busy callers", variant, saturated);
            }
        } finally {
            pool.dispose();
            backend.disposeNow();
            loops.dispose();
        }
    }

    private static Histogram histogram() {
        return new Histogram(HIGHEST_NANOS, 3);
    }

    private static Map<String, Histogram> histograms(List<String> variants) {
        Map<String, Histogram> all = new LinkedHashMap<>();
        variants.forEach(variant -> all.put(variant, histogram()));
        return all;
    }

    private static void add(BenchReport report, String subject, String variant, Map<String, Histogram> histograms) {
        Histogram own = histograms.get(variant);
        Histogram direct = histograms.get("direct");
        for (double percentile : new double[] {50, 90, 99, 99.9}) {
            double millis = own.getValueAtPercentile(percentile) / 1e6;
            report.add("latency p" + percentile, subject, variant, millis, "ms");
            report.add(
                    "added latency p" + percentile,
                    subject,
                    variant,
                    millis - direct.getValueAtPercentile(percentile) / 1e6,
                    "ms");
        }
        report.add("requests", subject, variant, own.getTotalCount(), "requests");
    }

    private static void pace(HttpClient client, Histogram histogram) throws BenchException {
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(STEADY_REQUESTS);
        long startNanos = System.nanoTime();
        for (int i = 0; i < STEADY_REQUESTS; i++) {
            long dueNanos = startNanos + i * (1_000_000_000L / STEADY_PER_SECOND);
            long waitNanos = dueNanos - System.nanoTime();
            if (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos);
            }
            one(client, dueNanos, histogram, failed)
                    .doFinally(signal -> done.countDown())
                    .subscribe();
        }
        finish(done, failed);
    }

    private static void load(HttpClient client, int requests, Histogram histogram) throws BenchException {
        AtomicInteger started = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CONCURRENCY);
        for (int i = 0; i < CONCURRENCY; i++) {
            Mono.defer(() -> one(client, System.nanoTime(), histogram, failed))
                    .repeat(() -> started.incrementAndGet() <= requests - CONCURRENCY)
                    .doFinally(signal -> done.countDown())
                    .subscribe();
        }
        finish(done, failed);
    }

    private static void finish(CountDownLatch done, AtomicInteger failed) throws BenchException {
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new BenchException("interrupted", e);
        }
        if (failed.get() > 0) {
            throw new BenchException(failed.get() + " requests failed");
        }
    }

    private static Mono<Void> one(HttpClient client, long startNanos, Histogram histogram, AtomicInteger failed) {
        return client.get()
                .uri("/item")
                .responseSingle((response, body) ->
                        body.asByteArray().map(bytes -> response.status().code() == 200 && bytes.length == BODY_BYTES))
                .onErrorReturn(false)
                .defaultIfEmpty(false)
                .doOnNext(whole -> {
                    long nanos = System.nanoTime() - startNanos;
                    synchronized (histogram) {
                        histogram.recordValue(Math.min(nanos, HIGHEST_NANOS));
                    }
                    if (!whole) {
                        failed.incrementAndGet();
                    }
                })
                .then();
    }

    private static HttpClient client(ConnectionProvider pool, LoopResources loops, int port) {
        return HttpClient.create(pool).runOn(loops).host("127.0.0.1").port(port);
    }

    private static DisposableServer backend(LoopResources loops) {
        byte[] body = new byte[BODY_BYTES];
        return HttpServer.create()
                .bindAddress(() -> new InetSocketAddress("127.0.0.1", 0))
                .runOn(loops)
                .handle((request, response) -> response.header("Content-Length", "" + BODY_BYTES)
                        .send(ByteBufFlux.fromInbound(Mono.just(body))))
                .bindNow();
    }

    private static HttpDaemon daemon(ProxyMode mode, int backendPort, long seed) {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new BackendServer(
                    new ServerId("s" + i), new InetSocketAddress("127.0.0.1", backendPort), new ZoneId("z1")));
        }
        // Slots for every caller: the benchmark measures the path, not the wait for a slot.
        ServiceSettings service =
                new ServiceSettings(new ServiceLimits(SERVICE, 50, CONNECTIONS, 330, 10), Map.of(), servers);
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 0);
        DaemonSettings settings = new DaemonSettings(
                new DaemonId("bench-" + mode),
                new ZoneId("z1"),
                new RegionId("r1"),
                mode,
                listen,
                listen,
                2,
                65_536,
                seed,
                List.of(),
                10_000,
                500,
                ProxyLimits.defaults(),
                LogFormat.HUMAN,
                LogLevel.ERROR,
                Map.of(SERVICE, service),
                Map.of("/", SERVICE),
                Option.none());
        return new HttpDaemon(settings, StandaloneParts.of(settings));
    }
}
