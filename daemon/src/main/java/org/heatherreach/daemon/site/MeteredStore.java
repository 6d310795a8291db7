package org.heatherreach.daemon.site;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import org.heatherreach.protocol.http.InvalidStatus;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.Lease;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.Transaction;
import org.heatherreach.protocol.kv.TransactionResult;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.KeyValueStore;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A store client that counts its calls by kind and result. A poll of a watch counts as one call.
 *
 * <p>Invariant: the calls and their results are those of the wrapped client.
 *
 * <p>Safe for use by any thread.
 */
final class MeteredStore implements KeyValueStore {
    private static final String CALLS = "heatherreach.store.calls";
    private static final String ANSWERED = "answered";

    private final KeyValueStore store;
    private final MeterRegistry meters;

    /** The kinds of calls. */
    private enum Call {
        READ,
        WRITE,
        GRANT,
        RENEW,
        REVOKE,
        POLL;

        private final String label = name().toLowerCase(Locale.ROOT);
    }

    /** Creates a client that counts the calls of another one. */
    MeteredStore(KeyValueStore store, MeterRegistry meters) {
        this.store = Objects.requireNonNull(store, "store");
        this.meters = Objects.requireNonNull(meters, "meters");
        Map<InvalidStatus, Counter> invalidStatuses = new EnumMap<>(InvalidStatus.class);
        for (InvalidStatus reason : InvalidStatus.values()) {
            invalidStatuses.put(
                    reason, meters.counter("heatherreach.store.invalid.statuses", "reason", reason.label()));
        }
        store.observeInvalidStatuses(reason -> invalidStatuses.get(reason).increment());
    }

    @Override
    public Mono<Either<KeyValueError, RangeResult>> range(KeyRange range, boolean keysOnly) {
        return store.range(range, keysOnly).doOnNext(result -> count(Call.READ, result));
    }

    @Override
    public Mono<Either<KeyValueError, Long>> put(Operation.Put put) {
        return store.put(put).doOnNext(result -> count(Call.WRITE, result));
    }

    @Override
    public Mono<Either<KeyValueError, Long>> delete(KeyRange range) {
        return store.delete(range).doOnNext(result -> count(Call.WRITE, result));
    }

    @Override
    public Mono<Either<KeyValueError, TransactionResult>> transact(Transaction transaction) {
        return store.transact(transaction).doOnNext(result -> count(Call.WRITE, result));
    }

    @Override
    public Mono<Either<KeyValueError, Lease>> grantLease(long ttlSeconds) {
        return store.grantLease(ttlSeconds).doOnNext(result -> count(Call.GRANT, result));
    }

    @Override
    public Mono<Either<KeyValueError, Lease>> keepAlive(long leaseId) {
        return store.keepAlive(leaseId).doOnNext(result -> count(Call.RENEW, result));
    }

    @Override
    public Mono<Either<KeyValueError, Long>> revokeLease(long leaseId) {
        return store.revokeLease(leaseId).doOnNext(result -> count(Call.REVOKE, result));
    }

    @Override
    public Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, long startRevision) {
        return store.watch(range, startRevision).doOnNext(this::countPoll);
    }

    @Override
    public Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, StoreRevision start) {
        return store.watch(range, start).doOnNext(this::countPoll);
    }

    @Override
    public void reconnect() {
        store.reconnect();
    }

    @Override
    public void limitPollWait(long limitMillis) {
        store.limitPollWait(limitMillis);
    }

    /** Counts the last event of each poll; the changes before it are parts of the same response. */
    private void countPoll(Either<KeyValueError, WatchEvent> event) {
        boolean endsPoll = event.isLeft()
                || event.get() instanceof WatchEvent.Current
                || event.get() instanceof WatchEvent.Compacted;
        if (endsPoll) {
            count(Call.POLL, event);
        }
    }

    private void count(Call call, Either<KeyValueError, ?> result) {
        String label = result.isRight() ? ANSWERED : labelOf(result.getLeft());
        meters.counter(CALLS, "call", call.label, "result", label).increment();
    }

    private static String labelOf(KeyValueError error) {
        if (error instanceof KeyValueError.RateLimited) {
            return "rate-limited";
        }
        if (error instanceof KeyValueError.Conflict) {
            return "conflict";
        }
        return error.isTransient() ? "failed" : "rejected";
    }
}
