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
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * A client of the etcd v3 JSON gateway. Calls go to one endpoint until it fails, then to the next. Safe for use by any
 * thread.
 */
public final class HttpKeyValueStore implements KeyValueStore, AutoCloseable {
    private static final int CONNECTION_LIMIT = 16;
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration BACKOFF_LIMIT = Duration.ofSeconds(2);

    private final List<InetSocketAddress> endpoints;
    private final Duration callTimeout;
    private final Duration watchIdleTimeout;
    private final RandomGenerator random;
    private final ConnectionProvider connections;
    private final HttpClient http;
    private final AtomicInteger endpointIndex = new AtomicInteger();

    /**
     * Creates a client; it connects with the first call.
     *
     * @param endpoints the addresses of the service by IP number
     * @param callTimeout the time after which a call without response has failed
     * @param watchIdleTimeout the time without any message after which a watch connects again; it must exceed the
     *     interval of progress notifications that the service is set to
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
        // Without this a write whose connection breaks would be sent a second time.
        http = HttpClient.create(connections)
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
                    .repeatWhen(ends -> ends.concatMap(end -> Mono.delay(backoff(progress.countFailure()))));
        });
    }

    @Override
    public void close() {
        connections.dispose();
    }

    private Flux<Either<KeyValueError, WatchEvent>> watchOnce(KeyRange range, WatchProgress progress) {
        LineSplitter lines = new LineSplitter();
        progress.restart();
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
                                        body -> Either.left(refusal(status, body, false)));
                    }
                    return content.asByteArray()
                            .concatMapIterable(lines::feed)
                            .map(line -> readEvents(line, progress))
                            // The store leaves the stream open after it has ended the watch.
                            .takeUntil(events -> progress.isCanceled())
                            .concatMapIterable(events -> events);
                })
                .timeout(watchIdleTimeout)
                .onErrorResume(error -> {
                    endpointIndex.compareAndSet(index, index + 1);
                    return Mono.just(Either.left(failure(error, false)));
                })
                // A stream that ends without an error is an interruption too.
                .concatWith(Mono.just(Either.left(new KeyValueError.Unavailable("the watch ended"))));
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

    private <T> Mono<Either<KeyValueError, T>> call(String path, byte[] body, boolean write, Reader<T> reader) {
        return Mono.defer(() -> {
            int index = endpointIndex.get();
            return http.post()
                    .uri(uri(index, path))
                    .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                    .responseSingle((response, content) -> content.asByteArray()
                            .defaultIfEmpty(new byte[0])
                            .map(answer -> read(response.status().code(), answer, write, reader)))
                    .timeout(callTimeout)
                    .onErrorResume(error -> {
                        endpointIndex.compareAndSet(index, index + 1);
                        return Mono.just(Either.left(failure(error, write)));
                    });
        });
    }

    private static <T> Either<KeyValueError, T> read(int status, byte[] body, boolean write, Reader<T> reader) {
        if (status != 200) {
            return Either.left(refusal(status, body, write));
        }
        try {
            return Either.right(reader.read(body));
        } catch (KeyValueFormatException e) {
            return Either.left(
                    write
                            ? new KeyValueError.UnknownEffect(e.getMessage())
                            : new KeyValueError.Rejected(e.getMessage()));
        }
    }

    private static KeyValueError refusal(int status, byte[] body, boolean write) {
        String message = KeyValueCodec.readError(body);
        String reason = "status " + status + (message.isEmpty() ? "" : ": " + message);
        if (status == 429) {
            return new KeyValueError.RateLimited(reason);
        }
        if (status == 413 || message.toLowerCase(Locale.ROOT).contains("too large")) {
            return new KeyValueError.TooLarge(reason);
        }
        if (status >= 500) {
            // Of the server errors only this one says that the write was not proposed.
            boolean noEffect = !write || message.contains("no leader");
            return noEffect ? new KeyValueError.Unavailable(reason) : new KeyValueError.UnknownEffect(reason);
        }
        return new KeyValueError.Rejected(reason);
    }

    private static KeyValueError failure(Throwable error, boolean write) {
        boolean notSent = error instanceof ConnectException || error instanceof NoRouteToHostException;
        String reason = error instanceof TimeoutException ? "no response in time" : String.valueOf(error.getMessage());
        return notSent || !write ? new KeyValueError.Unavailable(reason) : new KeyValueError.UnknownEffect(reason);
    }

    private Duration backoff(int failures) {
        long limitMillis =
                Math.min(BACKOFF_LIMIT.toMillis(), FIRST_BACKOFF.toMillis() << Math.min(10, Math.max(0, failures - 1)));
        synchronized (random) {
            return Duration.ofMillis(limitMillis / 2 + random.nextLong(limitMillis / 2 + 1));
        }
    }

    private String uri(int index, String path) {
        InetSocketAddress endpoint = endpoints.get(Math.floorMod(index, endpoints.size()));
        String host = endpoint.getHostString();
        return "http://" + (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + endpoint.getPort() + path;
    }

    /** Reads the body of a response. */
    private interface Reader<T> {
        T read(byte[] body) throws KeyValueFormatException;
    }
}
