package org.heatherreach.standins;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A stand-in for a backend server: HTTP/1.1 with a fixed number of slots, load shedding and switchable faults.
 * A request states its response size and service time by the headers {@code Standin-Size} and
 * {@code Standin-Service-Ms} or the query parameters {@code size} and {@code service_ms}. The response has the SHA-256
 * of the complete body in {@code Standin-Sha256}. Safe for use by any thread.
 */
public final class BackendServer implements AutoCloseable {
    private static final int DEFAULT_SIZE_BYTES = 128;
    private static final int MAX_SIZE_BYTES = 64 << 20;
    private static final int MAX_REQUEST_BYTES = 64 << 20;
    private static final int HTTP_ERROR = 500;

    private final BackendSettings settings;
    private final AdminServer admin;
    private final int port;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final SplittableRandom random;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();
    private final ProbeHistory history = new ProbeHistory();
    private volatile BackendFaults faults = BackendFaults.NONE;
    private volatile SlotGate gate;
    private volatile DisposableServer server;
    private volatile long coldDeadlineNanos;
    private volatile boolean closed;

    /** Starts the server and its admin endpoint. */
    public BackendServer(BackendSettings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed());
        server = listen(settings.port());
        port = server.port();
        admin = new AdminServer(
                settings.host(),
                settings.adminPort(),
                routes -> routes.get("/runs", this::runs)
                        .get("/state", this::state)
                        .get("/faults", () -> faults)
                        .post("/faults", this::switchFaults)
                        .post("/crash", body -> {
                            crash();
                            return Json.object();
                        })
                        .post("/reset", body -> {
                            runs.clear();
                            counters.clear();
                            return Json.object();
                        }));
    }

    /** Returns the port for callers. */
    public int port() {
        return port;
    }

    /** Returns the port of the admin endpoint. */
    public int adminPort() {
        return admin.port();
    }

    /** Returns how often each execution key was run. */
    public Map<String, Integer> runs() {
        return new TreeMap<>(runs);
    }

    /** Returns the value of a counter, such as {@code completed}, {@code shed}, {@code cancelled} or {@code crash}. */
    public long count(String name) {
        AtomicLong counter = counters.get(name);
        return counter == null ? 0 : counter.get();
    }

    /** Replaces the faults in force. */
    public void setFaults(BackendFaults newFaults) {
        faults = newFaults;
    }

    /**
     * Changes some faults by a JSON object with their names, as the admin endpoint does.
     *
     * @throws IllegalArgumentException if a name is unknown or a value has the wrong type
     */
    public void setFaults(String json) {
        switchFaults(Json.read(json));
    }

    /** Returns the faults in force. */
    public BackendFaults faults() {
        return faults;
    }

    /** Drops all connections at once and stays down for the time that the faults state. */
    public void crash() {
        add("crash");
        // Closing the listener waits, which event loops must not do.
        Schedulers.boundedElastic().schedule(() -> {
            stopListening();
            Mono.delay(Duration.ofMillis(faults.crashDownMillis()), Schedulers.boundedElastic())
                    .subscribe(tick -> restart());
        });
    }

    @Override
    public void close() {
        closed = true;
        stopListening();
        admin.close();
    }

    private synchronized void restart() {
        if (!closed && server.isDisposed()) {
            server = listen(port);
        }
    }

    private synchronized void stopListening() {
        server.dispose();
        for (Channel channel : channels) {
            // A crashed process does not finish its sockets in order, so the peer sees a reset.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
        server.onDispose().block(Duration.ofSeconds(5));
    }

    private DisposableServer listen(int listenPort) {
        gate = new SlotGate(settings.slots(), settings.queueLimit());
        coldDeadlineNanos = System.nanoTime()
                + Duration.ofMillis(settings.coldStartMillis()).toNanos();
        return HttpServer.create()
                .host(settings.host())
                .port(listenPort)
                .option(ChannelOption.SO_REUSEADDR, true)
                .doOnConnection(connection -> {
                    if (channels.size() >= connectionLimit()) {
                        add("connectionRefused");
                        connection.channel().close();
                        return;
                    }
                    add("connection");
                    channels.add(connection.channel());
                })
                .handle(this::handle)
                .bindNow();
    }

    private int connectionLimit() {
        int switched = faults.connectionLimit();
        return switched >= 0 ? switched : settings.connectionLimit();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String path = new QueryStringDecoder(request.uri()).path();
        if ("/health".equals(path) || "/load".equals(path)) {
            return probe(path, response);
        }
        BackendFaults current = faults;
        if (current.draining()) {
            response.header("Backend-Draining", "true");
        }
        add("request");
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> body.length > MAX_REQUEST_BYTES
                        ? fail(response, 413)
                        : execute(request, response, body, current));
    }

    private Mono<Void> execute(
            HttpServerRequest request, HttpServerResponse response, byte[] body, BackendFaults current) {
        if (current.neverAnswer()) {
            add("neverAnswered");
            return Mono.never();
        }
        if (current.crashOnMark() && "true".equals(request.requestHeaders().get("Standin-Crash"))) {
            countRun(request);
            crash();
            return Mono.never();
        }
        SlotGate currentGate = gate;
        Mono<Void> admitted = currentGate.acquire().flatMap(taken -> {
            if (!taken) {
                add("shed");
                response.header("Retry-After", "1").header("Backend-Shed", "true");
                return fail(response, 503);
            }
            observeLoad();
            return Mono.defer(() -> run(request, response, body, current)).doFinally(signal -> {
                if (signal != SignalType.ON_COMPLETE) {
                    add("cancelled");
                }
                currentGate.release();
                observeLoad();
            });
        });
        // Reactor Netty does not cancel a body in transfer when its connection closes.
        Mono<Void> work = admitted.takeUntilOther(disconnection(request));
        String timeout = request.requestHeaders().get("Heatherreach-Timeout-Ms");
        if (timeout == null || !current.honourDeadlines()) {
            return work;
        }
        return work.timeout(Duration.ofMillis(Math.max(1, Long.parseLong(timeout))), Mono.defer(() -> {
            add("deadlineExceeded");
            if (response.hasSentHeaders()) {
                return closeConnection(response);
            }
            return fail(response, 504);
        }));
    }

    private Mono<Void> run(HttpServerRequest request, HttpServerResponse response, byte[] body, BackendFaults current) {
        countRun(request);
        double serviceMillis = parameter(request, "Standin-Service-Ms", "service_ms", settings.serviceMillis());
        if (draw(current.slowShare())) {
            add("slow");
            serviceMillis *= current.slowFactor();
        }
        if (System.nanoTime() < coldDeadlineNanos) {
            add("cold");
            serviceMillis *= current.coldStartFactor();
        }
        boolean flapped = current.flapMillis() > 0
                && System.nanoTime() / Duration.ofMillis(current.flapMillis()).toNanos() % 2 == 1;
        boolean failing = flapped || draw(current.errorShare());
        int size = Math.min(MAX_SIZE_BYTES, parameter(request, "Standin-Size", "size", DEFAULT_SIZE_BYTES));
        Mono<Void> answer = Mono.defer(() -> {
            if (failing) {
                add("error");
                return fail(response, HTTP_ERROR);
            }
            byte[] content = ResponseBody.of(request.method().name(), request.uri(), body, size);
            return send(response, content, current).doOnSuccess(done -> add("completed"));
        });
        long serviceNanos = (long) (serviceMillis * 1_000_000);
        return serviceNanos == 0
                ? answer
                : Mono.delay(Duration.ofNanos(serviceNanos)).then(answer);
    }

    private Mono<Void> send(HttpServerResponse response, byte[] content, BackendFaults current) {
        response.header("Standin-Sha256", ResponseBody.sha256(content))
                .header(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
        int half = content.length / 2;
        if (draw(current.truncateShare())) {
            add("truncated");
            response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.length));
            return response.send(Flux.just(Unpooled.wrappedBuffer(content, 0, half)), buffer -> true)
                    .then()
                    .then(closeConnection(response));
        }
        if (draw(current.stallShare())) {
            add("stalled");
            response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.length));
            return response.send(
                            Flux.just(Unpooled.wrappedBuffer(content, 0, half)).concatWith(Mono.never()),
                            buffer -> true)
                    .then();
        }
        if (draw(current.wrongLengthShare())) {
            add("wrongLength");
            response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(half));
            return response.send(Mono.just(Unpooled.wrappedBuffer(content))).then();
        }
        response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.length));
        return response.send(Mono.just(Unpooled.wrappedBuffer(content))).then();
    }

    private Publisher<Void> probe(String path, HttpServerResponse response) {
        BackendFaults current = faults;
        add("probe");
        ProbeHistory.Sample sample = history.at(
                System.nanoTime() - Duration.ofMillis(current.healthLagMillis()).toNanos());
        if ("/load".equals(path)) {
            int inUse = current.loadLie() >= 0 ? current.loadLie() : sample.inUse();
            return response.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .sendString(Mono.just(Json.write(Json.object()
                            .put("slots", settings.slots())
                            .put("inUse", inUse)
                            .put("queued", sample.queued()))));
        }
        return fail(response, current.healthLie() > 0 ? current.healthLie() : sample.draining() ? 503 : 200);
    }

    private static Mono<Void> fail(HttpServerResponse response, int status) {
        return response.status(status)
                .header(HttpHeaderNames.CONTENT_LENGTH, "0")
                .send()
                .then();
    }

    private static Mono<Void> disconnection(HttpServerRequest request) {
        return Mono.create(sink -> request.withConnection(connection -> {
            ChannelFuture closing = connection.channel().closeFuture();
            ChannelFutureListener listener = future -> sink.success();
            closing.addListener(listener);
            sink.onDispose(() -> closing.removeListener(listener));
        }));
    }

    private static Mono<Void> closeConnection(HttpServerResponse response) {
        return Mono.fromRunnable(
                () -> response.withConnection(connection -> connection.channel().close()));
    }

    private Object switchFaults(JsonNode changes) {
        faults = Json.update(faults, changes, BackendFaults.class);
        observeLoad();
        return faults;
    }

    private Map<String, Long> state() {
        Map<String, Long> values = new TreeMap<>();
        counters.forEach((name, value) -> values.put(name, value.get()));
        values.put("slotsInUse", (long) gate.inUse());
        values.put("queuedNow", (long) gate.queued());
        values.put("connectionsNow", (long) channels.size());
        return values;
    }

    private void observeLoad() {
        history.add(System.nanoTime(), gate.inUse(), gate.queued(), faults.draining());
    }

    private void countRun(HttpServerRequest request) {
        add("run");
        String key = request.requestHeaders().get("Heatherreach-Key");
        if (key != null) {
            runs.merge(key, 1, Integer::sum);
        }
    }

    private boolean draw(double share) {
        if (share <= 0) {
            return false;
        }
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    private static int parameter(HttpServerRequest request, String header, String query, int standard) {
        String value = request.requestHeaders().get(header);
        if (value == null) {
            value = new QueryStringDecoder(request.uri())
                    .parameters().getOrDefault(query, List.of()).stream()
                            .findFirst()
                            .orElse(null);
        }
        try {
            return value == null ? standard : Math.max(0, Integer.parseInt(value));
        } catch (NumberFormatException e) {
            return standard;
        }
    }

    private void add(String name) {
        counters.computeIfAbsent(name, unused -> new AtomicLong()).incrementAndGet();
    }
}
