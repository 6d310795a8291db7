package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.transport.http.BackendServer;
import org.heatherreach.transport.http.ResponseStatusGuard;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Polls the platform's list of live and leaving VMs.
 *
 * <p>Invariant: a list that can't be read changes nothing, because a late or unavailable list is no reason to stop
 * using servers. An entry that can't be read is counted and skipped.
 *
 * <p>Thread safety: safe for use by any thread. The listeners are called by event loops.
 */
public final class VmListPoller implements AutoCloseable {
    /** Entries of this service are daemon VMs, listed with their address for peers. */
    public static final String DAEMON_SERVICE = "heatherreach";

    private static final Logger LOG = Logger.getLogger(VmListPoller.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long POLL_MILLIS = 1000;

    private final HttpClient client;
    private final ObjectMapper mapper = new ObjectMapper();
    private final ServerDirectory servers;
    private final Consumer<List<MemberAddress>> daemonListener;
    private final Counter failures;
    private final Counter invalidEntries;
    private volatile Disposable polling;
    private volatile boolean readable = true;

    /** Creates a poller; {@link #start} starts it. */
    public VmListPoller(
            InetSocketAddress address,
            ServerDirectory servers,
            Consumer<List<MemberAddress>> daemonListener,
            MeterRegistry registry) {
        this.servers = Objects.requireNonNull(servers, "servers");
        this.daemonListener = Objects.requireNonNull(daemonListener, "daemonListener");
        this.client = ResponseStatusGuard.install(HttpClient.create(), reason -> {})
                .remoteAddress(() -> address)
                .responseTimeout(TIMEOUT);
        this.failures = registry.counter("heatherreach.vms.failures");
        this.invalidEntries = registry.counter("heatherreach.vms.entries.invalid");
    }

    /** Starts polling about once a second, with jitter so that daemons do not poll in step. */
    public void start() {
        polling = poll().then(Mono.defer(() -> Mono.delay(Duration.ofMillis(
                        POLL_MILLIS / 2 + ThreadLocalRandom.current().nextLong(POLL_MILLIS)))))
                .repeat()
                .subscribe();
    }

    /** Stops polling. */
    @Override
    public void close() {
        if (polling != null) {
            polling.dispose();
        }
    }

    private Mono<Void> poll() {
        return client.get()
                .uri("/v1/vms")
                .responseSingle((response, body) -> response.status().code() == 200
                        ? body.asString()
                        : Mono.error(new IllegalStateException(
                                "status " + response.status().code())))
                .timeout(TIMEOUT)
                .doOnNext(this::handleList)
                .doOnError(this::recordFailure)
                .onErrorComplete()
                .then();
    }

    private void handleList(String text) {
        List<MemberAddress> daemons = new ArrayList<>();
        Map<ServiceId, List<ListedServer>> serversByService = new HashMap<>();
        try {
            for (JsonNode entry : mapper.readTree(text).withArray("vms")) {
                addEntry(entry, daemons, serversByService);
            }
        } catch (JsonProcessingException | UnsupportedOperationException e) {
            recordFailure(e);
            return;
        }
        servers.publish(serversByService);
        daemonListener.accept(daemons);
        if (!readable) {
            LOG.info("The VM list is readable again");
            readable = true;
        }
    }

    private void addEntry(
            JsonNode entry, List<MemberAddress> daemons, Map<ServiceId, List<ListedServer>> serversByService) {
        try {
            String service = entry.path("service").asText();
            boolean leaving = "leaving".equals(entry.path("state").asText());
            String address = entry.path("address").asText();
            int colon = address.lastIndexOf(':');
            String host = address.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(address.substring(colon + 1));
            if (!DAEMON_SERVICE.equals(service)) {
                BackendServer server = new BackendServer(
                        new ServerId(entry.path("id").asText()),
                        new InetSocketAddress(host, port),
                        new ZoneId(entry.path("zone").asText()));
                serversByService
                        .computeIfAbsent(new ServiceId(service), key -> new ArrayList<>())
                        .add(new ListedServer(server, leaving));
            } else if (!leaving) {
                daemons.add(new MemberAddress(host, port));
            }
        } catch (IllegalArgumentException e) {
            invalidEntries.increment();
        }
    }

    private void recordFailure(Throwable failure) {
        failures.increment();
        if (readable) {
            LOG.warnf("The VM list can't be read: %s", failure.getMessage());
            readable = false;
        }
    }
}
