package org.heatherreach.bench;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

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
 * Measures the latency that one daemon adds. Each round sends the same requests directly to a backend, through the naive
 * daemon and through the product, so that a drift of the machine meets all three alike.
 */
public final class LatencyBenchmark implements Benchmark {
    private static final ServiceId SERVICE = new ServiceId("shop");
    private static final int ROUNDS = 5;
    private static final int WARM_UP_REQUESTS = 20_000;
    private static final int REQUESTS = 10_000;
    private static final int CONCURRENCY = 8;
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
        ConnectionProvider pool = ConnectionProvider.create("bench", CONCURRENCY);
        try (HttpDaemon naive = daemon(ProxyMode.NAIVE, backend.port(), seed);
                HttpDaemon product = daemon(ProxyMode.FLEET, backend.port(), seed)) {
            Map<String, Integer> ports =
                    Map.of("direct", backend.port(), "baseline", naive.port(), "product", product.port());
            List<String> variants = List.of("direct", "baseline", "product");
            Map<String, Histogram> histograms = Map.of(
                    "direct", new Histogram(HIGHEST_NANOS, 3),
                    "baseline", new Histogram(HIGHEST_NANOS, 3),
                    "product", new Histogram(HIGHEST_NANOS, 3));
            for (String variant : variants) {
                load(client(pool, loops, ports.get(variant)), WARM_UP_REQUESTS, new Histogram(HIGHEST_NANOS, 3));
            }
            for (int round = 0; round < ROUNDS; round++) {
                for (String variant : variants) {
                    load(client(pool, loops, ports.get(variant)), REQUESTS, histograms.get(variant));
                }
            }
            for (String variant : variants) {
                add(report, variant, histograms.get(variant), histograms.get("direct"));
            }
        } finally {
            pool.dispose();
            backend.disposeNow();
            loops.dispose();
        }
    }

    private static void add(BenchReport report, String variant, Histogram histogram, Histogram direct) {
        String subject = CONCURRENCY + " callers, " + BODY_BYTES + " B";
        for (double percentile : new double[] {50, 90, 99, 99.9}) {
            double millis = histogram.getValueAtPercentile(percentile) / 1e6;
            report.add("latency p" + percentile, subject, variant, millis, "ms");
            report.add(
                    "added latency p" + percentile,
                    subject,
                    variant,
                    millis - direct.getValueAtPercentile(percentile) / 1e6,
                    "ms");
        }
        report.add("requests", subject, variant, histogram.getTotalCount(), "requests");
    }

    private static void load(HttpClient client, int requests, Histogram histogram) throws BenchException {
        AtomicInteger started = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CONCURRENCY);
        for (int i = 0; i < CONCURRENCY; i++) {
            one(client, histogram, failed)
                    .repeat(() -> started.incrementAndGet() <= requests - CONCURRENCY)
                    .doFinally(signal -> done.countDown())
                    .subscribe();
        }
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new BenchException("interrupted", e);
        }
        if (failed.get() > 0) {
            throw new BenchException(failed.get() + " of " + requests + " requests failed");
        }
    }

    private static Mono<Void> one(HttpClient client, Histogram histogram, AtomicInteger failed) {
        return Mono.defer(() -> {
            long startNanos = System.nanoTime();
            return client.get()
                    .uri("/item")
                    .responseSingle((response, body) -> body.asByteArray()
                            .map(bytes -> response.status().code() == 200 && bytes.length == BODY_BYTES))
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
        });
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
        List<BackendServer> servers = new java.util.ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new BackendServer(
                    new ServerId("s" + i), new InetSocketAddress("127.0.0.1", backendPort), new ZoneId("z1")));
        }
        // Slots for every caller: the benchmark measures the path, not the wait for a slot.
        ServiceSettings service =
                new ServiceSettings(new ServiceLimits(SERVICE, 50, CONCURRENCY, 330, 10), Map.of(), servers);
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
