package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.coordination.watch.ReaderPlan;
import org.heatherreach.protocol.http.InvalidStatus;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.Lease;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.Transaction;
import org.heatherreach.protocol.kv.TransactionResult;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.KeyValueStore;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The store as a daemon of a large availability zone uses it: all keys and their changes come from a reader of the zone
 * while it is usable, everything else goes to the store. The {@link ReaderFollower} says which source is in use. At a
 * reader, the keys also go to the {@link ReaderCache}.
 *
 * <p>Invariants: in a zone without readers every call and result is that of the wrapped client, no timer runs and nothing
 * is kept; a full read that a reader can't serve goes to the store.
 *
 * <p>Thread safety: safe for use by any thread; one watch of all keys at a time. Subscribers are called with a lock and
 * must not block.
 */
final class ZoneReaderStore implements KeyValueStore {
    /** As long as the wait for the response to a full read of a reader; the store is read afterwards. */
    private static final Duration FULL_READ_LIMIT = Duration.ofMillis(700);

    private static final long ZONE_CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final KeyValueStore store;
    private final ReaderCache cache;
    private final ReaderCalls calls;
    private final LongSupplier nanoClock;
    private final ReaderFollower follower;
    private volatile long nextZoneCheckNanos;

    /**
     * Creates a client.
     *
     * @param store the client of the store
     * @param plan decides where the changes come from
     * @param cache receives what this daemon reads from the store
     * @param calls makes the calls to readers
     * @param worker handles the responses of readers and the timer
     * @param meters counts the polls of readers
     * @param nanoClock the monotonic clock
     */
    ZoneReaderStore(
            KeyValueStore store,
            ReaderPlan plan,
            ReaderCache cache,
            ReaderCalls calls,
            Scheduler.Worker worker,
            MeterRegistry meters,
            LongSupplier nanoClock) {
        this.store = Objects.requireNonNull(store, "store");
        this.cache = Objects.requireNonNull(cache, "cache");
        this.calls = Objects.requireNonNull(calls, "calls");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.follower = new ReaderFollower(store, plan, cache, calls, worker, meters, nanoClock);
        this.nextZoneCheckNanos = nanoClock.getAsLong();
    }

    /** Applies the listed daemons of the zone if the last time was long enough ago; does nothing before they are known. */
    void checkZone(DaemonRegistry daemons) {
        long nowNanos = nanoClock.getAsLong();
        if (nowNanos - nextZoneCheckNanos >= 0 && daemons.isLoaded()) {
            nextZoneCheckNanos = nowNanos + ZONE_CHECK_NANOS;
            replaceZone(daemons.zoneAddresses());
        }
    }

    /** Sets the addresses of the listed daemons of the zone. */
    void replaceZone(Map<DaemonId, InetSocketAddress> daemons) {
        follower.replaceZone(daemons);
    }

    /** Returns whether this daemon serves the keys to the other daemons of its zone. */
    boolean isReader() {
        return follower.isReader();
    }

    /** Returns whether the changes come from a reader. */
    boolean followsReader() {
        return follower.followsReader();
    }

    @Override
    public Mono<Either<KeyValueError, RangeResult>> range(KeyRange range, boolean keysOnly) {
        if (!range.equals(KeyRange.ALL) || keysOnly) {
            return store.range(range, keysOnly);
        }
        return Mono.defer(() -> {
            Mono<Either<KeyValueError, RangeResult>> fromStore =
                    store.range(range, false).doOnNext(cache::replace);
            Option<InetSocketAddress> reader = follower.readerAddress();
            return reader.isEmpty()
                    ? fromStore
                    : readAll(reader.get()).switchIfEmpty(Mono.defer(() -> {
                        follower.abandonReader();
                        return fromStore;
                    }));
        });
    }

    @Override
    public Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, long startRevision) {
        return store.watch(range, startRevision);
    }

    @Override
    public Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, StoreRevision start) {
        return range.equals(KeyRange.ALL)
                ? Flux.create(sink -> follower.watch(sink, start))
                : store.watch(range, start);
    }

    /** Also gives up the reader, because peers have read changes that it has not delivered. */
    @Override
    public void reconnect() {
        store.reconnect();
        follower.abandonReader();
    }

    @Override
    public Mono<Either<KeyValueError, Long>> put(Operation.Put put) {
        return store.put(put);
    }

    @Override
    public Mono<Either<KeyValueError, Long>> delete(KeyRange range) {
        return store.delete(range);
    }

    @Override
    public Mono<Either<KeyValueError, TransactionResult>> transact(Transaction transaction) {
        return store.transact(transaction);
    }

    @Override
    public Mono<Either<KeyValueError, Lease>> grantLease(long ttlSeconds) {
        return store.grantLease(ttlSeconds);
    }

    @Override
    public Mono<Either<KeyValueError, Lease>> keepAlive(long leaseId) {
        return store.keepAlive(leaseId);
    }

    @Override
    public Mono<Either<KeyValueError, Long>> revokeLease(long leaseId) {
        return store.revokeLease(leaseId);
    }

    @Override
    public void limitPollWait(long limitMillis) {
        store.limitPollWait(limitMillis);
    }

    @Override
    public void observeInvalidStatuses(Consumer<InvalidStatus> listener) {
        store.observeInvalidStatuses(listener);
    }

    /** Returns the keys of a reader; empty if they can't be had, or are older than what was applied. */
    private Mono<Either<KeyValueError, RangeResult>> readAll(InetSocketAddress reader) {
        return Mono.<ReaderAnswer>create(sink -> {
                    Runnable cancel = calls.call(reader, ReaderPaths.KEYS, new ReaderCalls.Listener() {
                        @Override
                        public void completed(ReaderAnswer answer) {
                            sink.success(answer);
                        }

                        @Override
                        public void failed(String reason) {
                            sink.success();
                        }
                    });
                    sink.onDispose(cancel::run);
                })
                .timeout(FULL_READ_LIMIT, Mono.empty())
                .publishOn(Schedulers.parallel())
                .filter(follower::isUsableRead)
                .map(answer -> Either.right(answer.toRange()));
    }
}
