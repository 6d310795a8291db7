package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.ChannelOption;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.protocol.http.InvalidStatus;
import org.heatherreach.transport.http.ResponseStatusGuard;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Probes the health endpoint of backend servers, each time on a new connection. Safe for use by any thread. */
final class ServerProber implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int SUCCESS_CLASS = 2;
    private static final int CLASS_DIVISOR = 100;

    private final LoopResources loops = LoopResources.create("probe", 1, true);
    private final Map<InvalidStatus, Counter> invalidStatuses = new EnumMap<>(InvalidStatus.class);
    private final HttpClient client;

    /**
     * The result of a probe.
     *
     * @param answered whether the server answered at all with a valid status
     * @param healthy whether the answer arrived in time with a 2xx status
     * @param draining whether the answer states that the server is draining
     */
    record Result(boolean answered, boolean healthy, boolean draining) {}

    /** Creates a prober and registers its counters. */
    ServerProber(MeterRegistry registry) {
        for (InvalidStatus reason : InvalidStatus.values()) {
            invalidStatuses.put(
                    reason, registry.counter("heatherreach.health.probes.invalid", "reason", reason.label()));
        }
        client = ResponseStatusGuard.install(
                        HttpClient.create(ConnectionProvider.newConnection()),
                        reason -> invalidStatuses.get(reason).increment())
                .runOn(loops)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TIMEOUT.toMillis())
                .responseTimeout(TIMEOUT)
                // A retry inside the client would hide the failure of the first attempt.
                .disableRetry(true);
    }

    /** Probes a server; the callback runs exactly once, on an event loop. */
    void probe(InetSocketAddress address, Consumer<Result> callback) {
        client.remoteAddress(() -> address)
                .get()
                .uri("/health")
                .response()
                .timeout(TIMEOUT)
                .map(ServerProber::toResult)
                .onErrorReturn(new Result(false, false, false))
                .defaultIfEmpty(new Result(false, false, false))
                .subscribe(callback);
    }

    private static Result toResult(HttpClientResponse response) {
        return new Result(
                true,
                response.status().code() / CLASS_DIVISOR == SUCCESS_CLASS,
                "true".equals(response.responseHeaders().get(CallHeaders.BACKEND_DRAINING)));
    }

    @Override
    public void close() {
        loops.dispose();
    }
}
