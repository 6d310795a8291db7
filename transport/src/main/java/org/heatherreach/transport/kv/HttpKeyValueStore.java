package org.heatherreach.transport.kv;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.netty.buffer.Unpooled;
import io.vavr.control.Either;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.KeyValueCodec;
import org.heatherreach.protocol.kv.KeyValueFormatException;
import org.heatherreach.protocol.kv.Lease;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.Transaction;
import org.heatherreach.protocol.kv.TransactionResult;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.protocol.kv.WatchMessage;
import org.heatherreach.transport.http.ResponseStatusGuard;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * A client of the etcd v3 JSON gateway. Calls go to one endpoint until a connection to it fails or a response times
 * out, then to the next one. Safe for use by any thread.
 */
public final class HttpKeyValueStore implements KeyValueStore, AutoCloseable {
    private static final int CONNECTION_LIMIT = 16;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final List<InetSocketAddress> endpoints;
    private final Duration callTimeout;
    private final Duration watchIdleTimeout;
    private final RandomGenerator random;
    private final ConnectionProvider connections;
    private final HttpClient http;
    private final AtomicInteger endpointIndex = new AtomicInteger();

    /**
     * Creates a client, which connects to the service on its first call.
     *
     * @param endpoints the IP addresses and ports of the service
     * @param callTimeout how long a call waits for the first part of its response and for each next one; the whole
     *     response may take longer, as long as it does not fall behind a least rate by more than this time
     * @param watchIdleTimeout the time without any message after which a watch reconnects; it must exceed the
     *     interval of progress notifications that is configured in the service
     * @param random the source of jitter
     */
    public HttpKeyValueStore(
            List<InetSocketAddress> endpoints,
            Duration callTimeout,
            Duration watchIdleTimeout,
            RandomGenerator random) {
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("at least one endpoint is needed");
        }
        this.endpoints = List.copyOf(endpoints);
        this.callTimeout = callTimeout;
        this.watchIdleTimeout = watchIdleTimeout;
        this.random = random;
        connections = ConnectionProvider.builder("key-value")
                .maxConnections(CONNECTION_LIMIT)
                .pendingAcquireTimeout(callTimeout)
                .build();
        // With retries enabled, the HTTP client would send a write again after its connection broke.
        http = ResponseStatusGuard.install(HttpClient.create(connections), reason -> {})
                .disableRetry(true)
                .headers(headers -> headers.set("Content-Type", "application/json"));
    }

    @Override
    public Mono<Either<KeyValueError, RangeResult>> range(KeyRange range, boolean keysOnly) {
        return call("/v3/kv/range", KeyValueCodec.range(range, keysOnly), false, KeyValueCodec::readRange);
    }

    @Override
    public Mono<Either<KeyValueError, Long>> put(Operation.Put put) {
        return call("/v3/kv/put", KeyValueCodec.put(put), true, KeyValueCodec::readRevision);
    }

    @Override
    public Mono<Either<KeyValueError, Long>> delete(KeyRange range) {
        return call("/v3/kv/deleterange", KeyValueCodec.delete(range), true, KeyValueCodec::readRevision);
    }

    @Override
    public Mono<Either<KeyValueError, TransactionResult>> transact(Transaction transaction) {
        return call(
                        "/v3/kv/txn",
                        KeyValueCodec.transaction(transaction),
                        transaction.writes(),
                        KeyValueCodec::readTransaction)
                .map(result -> result.flatMap(value -> value.succeeded()
                        ? Either.right(value)
                        : Either.left(new KeyValueError.Conflict(value.steps()))));
    }

    @Override
    public Mono<Either<KeyValueError, Lease>> grantLease(long ttlSeconds) {
        return call("/v3/lease/grant", KeyValueCodec.grant(ttlSeconds), true, KeyValueCodec::readLease);
    }

    @Override
    public Mono<Either<KeyValueError, Lease>> keepAlive(long leaseId) {
        return call("/v3/lease/keepalive", KeyValueCodec.lease(leaseId), true, KeyValueCodec::readLease);
    }

    @Override
    public Mono<Either<KeyValueError, Long>> revokeLease(long leaseId) {
        return call("/v3/lease/revoke", KeyValueCodec.lease(leaseId), true, KeyValueCodec::readRevision);
    }

    @Override
    public Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, long startRevision) {
        return Flux.defer(() -> {
            WatchProgress progress = new WatchProgress(startRevision);
            return Flux.defer(() -> watchOnce(range, progress))
                    .repeatWhen(completions ->
                            completions.concatMap(completion -> Mono.delay(backoff(progress.countFailure()))));
        });
    }

    @Override
    public void close() {
        connections.dispose();
    }

    private Flux<Either<KeyValueError, WatchEvent>> watchOnce(KeyRange range, WatchProgress progress) {
        LineSplitter lines = new LineSplitter();
        progress.clearCanceled();
        int index = endpointIndex.get();
        return http.post()
                .uri(uri(index, "/v3/watch"))
                .send(Mono.fromSupplier(
                        () -> Unpooled.wrappedBuffer(KeyValueCodec.watch(range, progress.nextRevision()))))
                .response((response, content) -> {
                    int status = response.status().code();
                    if (status != 200) {
                        return content.aggregate()
                                .asByteArray()
                                .defaultIfEmpty(new byte[0])
                                .<Either<KeyValueError, WatchEvent>>map(
                                        body -> Either.left(errorFromResponse(status, body, false)));
                    }
                    return content.asByteArray()
                            .concatMapIterable(lines::feed)
                            .map(line -> readEvents(line, progress))
                            // The store cancels a watch without closing the stream.
                            .takeUntil(events -> progress.isCanceled())
                            .concatMapIterable(events -> events);
                })
                .timeout(watchIdleTimeout)
                .onErrorResume(error -> {
                    endpointIndex.compareAndSet(index, index + 1);
                    return Mono.just(Either.left(errorFromException(error, false)));
                })
                // A stream that ends without an error interrupts the watch as well.
                .concatWith(Mono.just(Either.left(new KeyValueError.Unavailable("the watch stream ended"))));
    }

    private static List<Either<KeyValueError, WatchEvent>> readEvents(byte[] line, WatchProgress progress) {
        List<Either<KeyValueError, WatchEvent>> events = new ArrayList<>();
        try {
            WatchMessage message = KeyValueCodec.readWatch(line);
            progress.accept(message).forEach(event -> events.add(Either.right(event)));
        } catch (KeyValueFormatException e) {
            events.add(Either.left(new KeyValueError.Rejected(e.getMessage())));
        }
        return events;
    }

    private <T> Mono<Either<KeyValueError, T>> call(String path, byte[] body, boolean isWrite, BodyReader<T> reader) {
        return Mono.defer(() -> {
            int index = endpointIndex.get();
            return ResponseReader.read(send(uri(index, path), body), callTimeout)
                    .map(response -> readResponse(response.status(), response.content(), isWrite, reader))
                    .onErrorResume(error -> {
                        endpointIndex.compareAndSet(index, index + 1);
                        return Mono.just(Either.left(errorFromException(error, isWrite)));
                    });
        });
    }

    private Flux<ResponsePart> send(String uri, byte[] body) {
        return http.post()
                .uri(uri)
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .response((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> new ResponsePart(response.status().code(), bytes)));
    }

    private static <T> Either<KeyValueError, T> readResponse(
            int status, byte[] body, boolean isWrite, BodyReader<T> reader) {
        if (status != 200) {
            return Either.left(errorFromResponse(status, body, isWrite));
        }
        try {
            return Either.right(reader.read(body));
        } catch (KeyValueFormatException e) {
            return Either.left(
                    isWrite
                            ? new KeyValueError.UnknownEffect(e.getMessage())
                            : new KeyValueError.Rejected(e.getMessage()));
        }
    }

    private static KeyValueError errorFromResponse(int status, byte[] body, boolean isWrite) {
        String message = KeyValueCodec.readError(body);
        String reason = "status " + status + (message.isEmpty() ? "" : ": " + message);
        if (status == 429) {
            return new KeyValueError.RateLimited(reason);
        }
        if (status == 413 || message.toLowerCase(Locale.ROOT).contains("too large")) {
            return new KeyValueError.TooLarge(reason);
        }
        if (status >= 500) {
            // Of the server errors, only "no leader" states that the write was not proposed to the cluster.
            boolean noEffect = !isWrite || message.contains("no leader");
            return noEffect ? new KeyValueError.Unavailable(reason) : new KeyValueError.UnknownEffect(reason);
        }
        return new KeyValueError.Rejected(reason);
    }

    private static KeyValueError errorFromException(Throwable error, boolean isWrite) {
        if (error instanceof ResponseException ended && !isWrite) {
            return ended.error();
        }
        boolean notSent = error instanceof ConnectException || error instanceof NoRouteToHostException;
        String reason = error instanceof TimeoutException
                ? "no response within the timeout"
                : String.valueOf(error.getMessage());
        return notSent || !isWrite ? new KeyValueError.Unavailable(reason) : new KeyValueError.UnknownEffect(reason);
    }

    private Duration backoff(int failures) {
        long limitMillis =
                Math.min(MAX_BACKOFF.toMillis(), INITIAL_BACKOFF.toMillis() << Math.min(10, Math.max(0, failures - 1)));
        synchronized (random) {
            return Duration.ofMillis(limitMillis / 2 + random.nextLong(limitMillis / 2 + 1));
        }
    }

    private String uri(int index, String path) {
        InetSocketAddress endpoint = endpoints.get(Math.floorMod(index, endpoints.size()));
        String host = endpoint.getHostString();
        return "http://" + (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + endpoint.getPort() + path;
    }

    /** Parses the body of a successful response. */
    private interface BodyReader<T> {
        T read(byte[] body) throws KeyValueFormatException;
    }
}
