package org.heatherreach.standins;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A stand-in for the key-value service: a subset of the etcd v3 JSON gateway with rate limits, call counts and
 * switchable faults. Data is kept in memory and survives outages; with a snapshot file it also survives the process. A
 * write is in the file before it is answered. Safe for use by any thread.
 */
public final class StoreServer implements AutoCloseable {
    private static final Set<String> WRITES =
            Set.of("/v3/kv/put", "/v3/kv/deleterange", "/v3/kv/txn", "/v3/lease/grant", "/v3/lease/revoke");
    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(100);

    private final KeyValueState state = new KeyValueState();
    private final Optional<StoreSnapshot> snapshot;
    private final AtomicInteger responsesToLose = new AtomicInteger();
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();
    private final RateLimit writes;
    private final RateLimit reads;
    private final DisposableServer server;
    private final AdminServer admin;
    private final List<Disposable> timers;
    private final ChannelGroup watchChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile StoreFaults faults = StoreFaults.NONE;

    /** Starts the server and its admin endpoint. */
    public StoreServer(StoreSettings settings) {
        long nowNanos = System.nanoTime();
        snapshot = settings.snapshot().map(StoreSnapshot::new);
        snapshot.ifPresent(file -> file.load(state, nowNanos));
        writes = new RateLimit(settings.writesPerSecond(), nowNanos);
        reads = new RateLimit(settings.readsPerSecond(), nowNanos);
        server = HttpServer.create()
                .host(settings.host())
                .port(settings.port())
                .route(routes -> routes.post("/v3/watch", this::watch).post("/v3/**", this::call))
                .bindNow();
        admin = new AdminServer(
                settings.host(),
                settings.adminPort(),
                routes -> routes.get("/state", this::counts)
                        .get("/keys", state::keys)
                        .get("/faults", () -> faults)
                        .post("/faults", this::switchFaults)
                        .post("/expire-leases", body -> Json.object().put("expired", state.expireAllLeases()))
                        .post("/compact", body -> Json.object().put("revision", compact()))
                        .post("/break-watches", body -> Json.object().put("broken", breakWatches())));
        timers = List.of(
                Flux.interval(LEASE_CHECK_INTERVAL).subscribe(tick -> state.expireLeases(System.nanoTime())),
                Flux.interval(Duration.ofMillis(settings.progressMillis())).subscribe(tick -> {
                    if (faults.outage() == StoreFaults.Outage.NONE) {
                        state.notifyProgress();
                    }
                }));
    }

    /** Returns the port for clients. */
    public int port() {
        return server.port();
    }

    /** Returns the port of the admin endpoint. */
    public int adminPort() {
        return admin.port();
    }

    /** Replaces the faults in force. An outage also ends the watches in progress, except a silent one. */
    public void setFaults(StoreFaults newFaults) {
        responsesToLose.set(newFaults.loseResponses());
        faults = newFaults;
        if (newFaults.outage() == StoreFaults.Outage.UNAVAILABLE
                || newFaults.outage() == StoreFaults.Outage.DISCONNECT
                || newFaults.refuseWatches()) {
            breakWatches();
        }
    }

    /** Closes the connections of all watches in progress and returns how many there were. */
    public int breakWatches() {
        int count = watchChannels.size();
        watchChannels.close();
        return count;
    }

    /** Ends all leases at once, as if their holders had been paused past their time. */
    public int expireAllLeases() {
        return state.expireAllLeases();
    }

    /** Forgets all past events, as a compaction does, and returns the revision up to which they are gone. */
    public long compact() {
        return state.compact();
    }

    /** Returns the number of calls on a path such as {@code /v3/kv/range}, refused ones included. */
    public long calls(String path) {
        AtomicLong counter = counters.get(path);
        return counter == null ? 0 : counter.get();
    }

    /** Returns the number of watches in progress. */
    public int watches() {
        return state.watcherCount();
    }

    /** Returns the keys in the store, in byte order. */
    public List<String> keys() {
        return state.keys();
    }

    @Override
    public void close() {
        timers.forEach(Disposable::dispose);
        breakWatches();
        server.disposeNow();
        admin.close();
    }

    private Mono<Void> call(HttpServerRequest request, HttpServerResponse response) {
        String path = "/" + request.path();
        add(path);
        return request.receive()
                .aggregate()
                .asString(StandardCharsets.UTF_8)
                .defaultIfEmpty("{}")
                .flatMap(body -> delayed(request, response, () -> answer(path, body, response)));
    }

    private Mono<Void> answer(String path, String body, HttpServerResponse response) {
        String text;
        try {
            admit(path);
            text = Json.write(dispatch(path, parse(body)));
            if (WRITES.contains(path)) {
                snapshot.ifPresent(file -> file.save(state));
            }
        } catch (StoreException e) {
            return refuse(response, e);
        }
        if (WRITES.contains(path) && responsesToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            add("lostResponse");
            return disconnect(response);
        }
        return response.header("Content-Type", "application/json")
                .sendString(Mono.just(text))
                .then();
    }

    private Mono<Void> watch(HttpServerRequest request, HttpServerResponse response) {
        add("/v3/watch");
        return request.receive()
                .aggregate()
                .asString(StandardCharsets.UTF_8)
                .defaultIfEmpty("{}")
                .flatMap(body -> delayed(request, response, () -> startWatch(body, response)));
    }

    private Mono<Void> startWatch(String body, HttpServerResponse response) {
        JsonNode create;
        try {
            admit("/v3/watch");
            if (faults.refuseWatches()) {
                throw StoreException.unavailable();
            }
            create = parse(body).path("create_request");
            if (!create.isObject()) {
                throw StoreException.invalid("create_request is missing");
            }
        } catch (StoreException e) {
            return refuse(response, e);
        }
        Sinks.Many<String> sink = Sinks.many().unicast().onBackpressureBuffer();
        KeyValueState.Watcher watcher = state.watch(create, message -> sink.tryEmitNext(message + "\n"));
        response.withConnection(connection -> watchChannels.add(connection.channel()));
        response.withConnection(connection -> connection.onDispose(() -> state.cancel(watcher)));
        return response.header("Content-Type", "application/json")
                .sendObject(
                        sink.asFlux().map(text -> Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8))),
                        buffer -> true)
                .then()
                .doFinally(signal -> state.cancel(watcher));
    }

    private Mono<Void> delayed(
            HttpServerRequest request, HttpServerResponse response, Supplier<Mono<Void>> continuation) {
        StoreFaults current = faults;
        Mono<Void> outcome =
                switch (current.outage()) {
                    case NONE -> Mono.defer(continuation);
                    case UNAVAILABLE -> refuse(response, StoreException.unavailable());
                    case SILENT -> Mono.never();
                    case DISCONNECT -> disconnect(response);
                };
        return current.delayMillis() == 0
                ? outcome
                : Mono.delay(Duration.ofMillis(current.delayMillis())).then(outcome);
    }

    private JsonNode dispatch(String path, JsonNode body) {
        return switch (path) {
            case "/v3/kv/range" -> state.range(body);
            case "/v3/kv/put" -> state.put(body);
            case "/v3/kv/deleterange" -> state.deleteRange(body);
            case "/v3/kv/txn" -> state.transact(body);
            case "/v3/lease/grant" -> state.grantLease(body, System.nanoTime());
            case "/v3/lease/keepalive" -> state.keepAlive(body, System.nanoTime());
            case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> state.revokeLease(body);
            default -> throw StoreException.invalid("Not Found");
        };
    }

    private void admit(String path) {
        RateLimit limit = WRITES.contains(path) ? writes : reads;
        if (!limit.take(System.nanoTime())) {
            add("rateLimited");
            throw StoreException.tooManyRequests();
        }
    }

    private static JsonNode parse(String body) {
        try {
            return Json.read(body);
        } catch (IllegalArgumentException e) {
            throw StoreException.invalid(e.getMessage());
        }
    }

    private static Mono<Void> refuse(HttpServerResponse response, StoreException error) {
        return response.status(error.status())
                .header("Content-Type", "application/json")
                .sendString(Mono.just(error.body()))
                .then();
    }

    private static Mono<Void> disconnect(HttpServerResponse response) {
        return Mono.fromRunnable(() -> response.withConnection(connection -> {
            Channel channel = connection.channel();
            channel.close();
        }));
    }

    private Object switchFaults(JsonNode changes) {
        setFaults(Json.update(faults, changes, StoreFaults.class));
        return faults;
    }

    private Map<String, Long> counts() {
        Map<String, Long> values = new TreeMap<>();
        counters.forEach((name, value) -> values.put(name, value.get()));
        values.put("watches", (long) watches());
        values.put("revision", state.revision());
        return values;
    }

    private void add(String name) {
        counters.computeIfAbsent(name, unused -> new AtomicLong()).incrementAndGet();
    }
}
