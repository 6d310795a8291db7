package org.heatherreach.daemon.fleet;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.state.table.TableCsv;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.TableSnapshot;
import org.heatherreach.transport.kv.TableStore;
import org.heatherreach.transport.kv.TableStoreError;
import org.heatherreach.transport.kv.TableVersion;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/**
 * Reads the table from the store on behalf of the table duty.
 *
 * <p>Invariant: a watch starts right after the version that was read before, so that no change between them is missed.
 *
 * <p>Thread safety: safe for use by any thread. The sink is called by threads of the store client.
 */
public final class TableReader implements AutoCloseable {
    private final TableStore store;
    private final Counter calls;
    private final Counter failures;
    private final Counter deletedHeads;
    private final Disposable.Swap watch = Disposables.swap();

    /** Receives the results of reads and watches. */
    public interface Sink {
        /** Called with a version of the table. */
        void onTable(long version, byte[] content);

        /** Called when the store has no newer version than the known one. */
        void onUnchanged();

        /** Called when a call to the store failed or its answer was invalid. */
        void onFailure();
    }

    /** Creates a reader. */
    public TableReader(TableStore store, MeterRegistry registry) {
        this.store = Objects.requireNonNull(store, "store");
        this.calls = registry.counter("heatherreach.store.calls");
        this.failures = registry.counter("heatherreach.store.failures");
        this.deletedHeads = registry.counter("heatherreach.store.head.deleted");
    }

    /**
     * Reads the table and then watches it until {@link #endWatch}. After a failed read, the next message of the watch
     * leads to another read.
     */
    public void watch(long knownVersion, Sink sink) {
        calls.increment(2);
        AtomicBoolean readFailed = new AtomicBoolean();
        watch.update(store.read()
                .doOnNext(result -> {
                    readFailed.set(result.isLeft());
                    deliver(result, knownVersion, sink);
                })
                .flatMapMany(result -> store.watch(startRevision(result, knownVersion)))
                .concatMap(event -> handleWatchEvent(event, readFailed, sink))
                .subscribe());
    }

    /** Ends the watch. */
    public void endWatch() {
        watch.update(Disposables.single());
    }

    /** Reads the head, and the table if its version is newer than the known one. */
    public void readOnce(long knownVersion, Sink sink) {
        calls.increment();
        store.readHead()
                .flatMap(head -> readIfNewer(head, knownVersion))
                .subscribe(result -> deliver(result, knownVersion, sink));
    }

    /** Ends the watch permanently. */
    @Override
    public void close() {
        watch.dispose();
    }

    private Mono<Either<TableStoreError, Option<TableSnapshot>>> readIfNewer(
            Either<TableStoreError, Option<TableVersion>> head, long knownVersion) {
        if (head.isLeft()) {
            return Mono.just(Either.left(head.getLeft()));
        }
        Option<TableVersion> version = head.get().filter(found -> found.version() > knownVersion);
        if (version.isEmpty()) {
            return Mono.just(Either.right(Option.none()));
        }
        calls.increment();
        return store.read(version.get()).map(result -> result.map(Option::some));
    }

    private void deliver(Either<TableStoreError, Option<TableSnapshot>> result, long knownVersion, Sink sink) {
        if (result.isLeft()) {
            failures.increment();
            sink.onFailure();
            return;
        }
        Option<TableSnapshot> snapshot = result.get().filter(found -> found.version() > knownVersion);
        if (snapshot.isEmpty()) {
            sink.onUnchanged();
        } else {
            sink.onTable(
                    snapshot.get().version(), TableCsv.toBytes(snapshot.get().table()));
        }
    }

    private static long startRevision(Either<TableStoreError, Option<TableSnapshot>> result, long knownVersion) {
        long readVersion = result.map(
                        snapshot -> snapshot.map(TableSnapshot::version).getOrElse(0L))
                .getOrElse(0L);
        return Math.max(knownVersion, readVersion) + 1;
    }

    private Mono<Void> handleWatchEvent(Either<KeyValueError, WatchEvent> event, AtomicBoolean readFailed, Sink sink) {
        if (event.isLeft()) {
            failures.increment();
            sink.onFailure();
            return Mono.empty();
        }
        if (event.get() instanceof WatchEvent.Put put) {
            return readAfterEvent(store.read(put.entry()).map(result -> result.map(Option::some)), readFailed, sink);
        }
        if (event.get() instanceof WatchEvent.Compacted) {
            return readAfterEvent(store.read(), readFailed, sink);
        }
        if (event.get() instanceof WatchEvent.Deleted) {
            // The table in force never reverts, so a deleted head changes nothing.
            deletedHeads.increment();
            return Mono.empty();
        }
        if (readFailed.get()) {
            // The store may have a newer version, whose head the watch does not report again.
            return readAfterEvent(store.read(), readFailed, sink);
        }
        sink.onUnchanged();
        return Mono.empty();
    }

    private Mono<Void> readAfterEvent(
            Mono<Either<TableStoreError, Option<TableSnapshot>>> read, AtomicBoolean readFailed, Sink sink) {
        calls.increment();
        return read.doOnNext(result -> {
                    readFailed.set(result.isLeft());
                    deliver(result, 0, sink);
                })
                .then();
    }
}
