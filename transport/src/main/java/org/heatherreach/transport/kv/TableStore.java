package org.heatherreach.transport.kv;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.protocol.kv.Compare;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.KeyValueFormatException;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.kv.TableHead;
import org.heatherreach.protocol.kv.Transaction;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.state.table.Table;
import org.heatherreach.state.table.TableChunk;
import org.heatherreach.state.table.TableChunks;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Stores the table in the key-value service: chunks under their hash, a head key that lists the chunks, and the last
 * heads as the history.
 *
 * <p>Invariants: the head changes by compare-and-swap only, in one transaction with its history entry. That transaction
 * also requires that the garbage collection marker has not changed since the chunks were listed. Each removal of chunks
 * changes the marker in the same transaction, so a change never refers to a chunk that was removed after the listing.
 *
 * <p>Calls with a transient error are retried with jittered delays for a bounded number of attempts. Safe for use by
 * any thread.
 */
public final class TableStore {
    /** The key that lists the chunks of the newest table. */
    public static final String HEAD_KEY = "/heatherreach/table/head";

    /** The number of heads that the history keeps. */
    public static final int HISTORY_LIMIT = 50;

    private static final String CHUNK_PREFIX = "/heatherreach/table/chunks/";
    private static final String HISTORY_PREFIX = "/heatherreach/table/history/";
    private static final String COLLECTION_MARKER_KEY = "/heatherreach/table/collection";

    /** The largest content of one write transaction, which leaves room for base64 below 1 MB. */
    private static final int WRITE_BATCH_LIMIT_BYTES = TableChunks.LIMIT_BYTES;

    private static final int WRITE_BATCH_LIMIT_CHUNKS = 100;
    /** The most chunks in one response, which are 8 MB at most. */
    private static final int READ_BATCH_LIMIT_CHUNKS = 16;

    private final KeyValueStore store;
    private final RandomGenerator random;
    private final RetryDelays delays;
    private volatile Map<String, TableChunk> cachedChunks = Map.of();

    /** Creates a table store with the standard delays; makes no call to the service. */
    public TableStore(KeyValueStore store, RandomGenerator random) {
        this(store, random, RetryDelays.STANDARD);
    }

    /** Creates a table store; makes no call to the service. */
    public TableStore(KeyValueStore store, RandomGenerator random, RetryDelays delays) {
        this.store = store;
        this.random = random;
        this.delays = delays;
    }

    /** Reads the newest table; empty if none was ever accepted. Chunks of the last table read come from a cache. */
    public Mono<Either<TableStoreError, Option<TableSnapshot>>> read() {
        return flatMapRight(
                readHead(),
                head -> head.isEmpty()
                        ? right(Option.none())
                        : mapRight(loadSnapshot(head.get().version(), head.get().head()), Option::some));
    }

    /** Reads the newest head without the chunks, in one call; empty if no table was ever accepted. */
    public Mono<Either<TableStoreError, Option<TableVersion>>> readHead() {
        return flatMapRight(
                retry(() -> store.range(KeyRange.of(HEAD_KEY), false)),
                result -> result.values().isEmpty()
                        ? right(Option.none())
                        : Mono.just(parseHead(result.values().get(0)).map(Option::some)));
    }

    /** Reads the table of a head that a watch reported. */
    public Mono<Either<TableStoreError, TableSnapshot>> read(KeyValue headEntry) {
        return flatMapRight(
                Mono.just(parseHead(headEntry)), version -> loadSnapshot(version.version(), version.head()));
    }

    /** Reads a table of the history. */
    public Mono<Either<TableStoreError, TableSnapshot>> read(TableVersion version) {
        return loadSnapshot(version.version(), version.head());
    }

    /** Reads the heads of the history, the newest first. */
    public Mono<Either<TableStoreError, List<TableVersion>>> history() {
        return flatMapRight(retry(() -> store.range(KeyRange.prefix(HISTORY_PREFIX), false)), result -> {
            List<TableVersion> versions = new ArrayList<>();
            for (KeyValue entry : result.values()) {
                Either<TableStoreError, TableVersion> version = parseHead(entry);
                if (version.isLeft()) {
                    return left(version.getLeft());
                }
                versions.add(0, version.get());
            }
            return right(versions);
        });
    }

    /**
     * Reports changes of the head key from a revision on. The watch continues after interruptions as described in
     * {@link KeyValueStore#watch}.
     */
    public Flux<Either<KeyValueError, WatchEvent>> watch(long startRevision) {
        return store.watch(KeyRange.of(HEAD_KEY), startRevision);
    }

    /**
     * Applies a change if the current version is still the base version of the change. After a lost response, the
     * change id is looked up in the history, which includes the current head, to find out whether the change was
     * accepted.
     */
    public Mono<Either<TableStoreError, ApplyResult>> apply(TableChange change) {
        return Mono.defer(() -> runAttempt(new Attempt(change, TableChunks.split(change.table()), 1, false)));
    }

    /**
     * Removes a batch of chunks to which neither the head nor the history refers, and returns how many. Chunks that are
     * newer than the head may belong to a change in progress and are kept. Removes nothing if the head or the garbage
     * collection marker changes meanwhile.
     */
    public Mono<Either<TableStoreError, Integer>> collectGarbage() {
        return flatMapRight(readInventory(), inventory -> {
            if (inventory.head().isEmpty()) {
                return right(0);
            }
            Set<String> referenced = new HashSet<>(inventory.head().get().head().chunks());
            inventory
                    .history()
                    .forEach(version -> referenced.addAll(version.head().chunks()));
            List<String> unreferenced = new ArrayList<>();
            inventory.chunkRevisions().forEach((hash, modRevision) -> {
                if (!referenced.contains(hash) && modRevision < inventory.headVersion()) {
                    unreferenced.add(hash);
                }
            });
            return unreferenced.isEmpty() ? right(0) : removeChunks(unreferenced, inventory);
        });
    }

    private Mono<Either<TableStoreError, Integer>> removeChunks(List<String> unreferenced, Inventory inventory) {
        List<String> batch = unreferenced.subList(0, Math.min(WRITE_BATCH_LIMIT_CHUNKS, unreferenced.size()));
        List<Operation> steps = new ArrayList<>();
        steps.add(new Operation.Put(COLLECTION_MARKER_KEY, new byte[0], 0));
        batch.forEach(hash -> steps.add(new Operation.Delete(KeyRange.of(CHUNK_PREFIX + hash))));
        Transaction removal = new Transaction(inventory.conditions(), steps, List.of());
        return store.transact(removal)
                .map(result -> result.fold(
                        error -> error instanceof KeyValueError.Conflict
                                ? Either.right(0)
                                : Either.left(new TableStoreError.StoreFailed(error)),
                        response -> Either.right(batch.size())));
    }

    private Mono<Either<TableStoreError, ApplyResult>> runAttempt(Attempt attempt) {
        return flatMapRight(readInventory(attempt), inventory -> {
            TableChange change = attempt.change();
            Option<Long> accepted = inventory.acceptedVersion(change.changeId());
            if (accepted.isDefined()) {
                return right(new ApplyResult.Accepted(accepted.get()));
            }
            if (inventory.headVersion() != change.baseVersion()) {
                // Another change replaced the head, so the compare-and-swap of this change can no longer succeed,
                // even if its request is still in flight.
                return inventory.head().isEmpty()
                        ? right(new ApplyResult.Superseded(Option.none()))
                        : mapRight(
                                loadSnapshot(
                                        inventory.headVersion(),
                                        inventory.head().get().head()),
                                current -> new ApplyResult.Superseded(Option.some(current)));
            }
            return writeMissingChunks(
                            attempt.chunks(), inventory.chunkRevisions().keySet())
                    .flatMap(stored ->
                            stored.isLeft() ? left(attempt.failure(stored.getLeft())) : commit(attempt, inventory));
        });
    }

    private Mono<Either<TableStoreError, ApplyResult>> commit(Attempt attempt, Inventory inventory) {
        TableChange change = attempt.change();
        long sequence = inventory.head().map(head -> head.head().sequence() + 1).getOrElse(0L);
        byte[] head = new TableHead(
                        change.changeId(),
                        change.author(),
                        change.comment(),
                        sequence,
                        change.baseVersion(),
                        change.epochMillis(),
                        attempt.chunks().stream().map(TableChunk::hash).toList())
                .toBytes();
        List<Operation> steps = new ArrayList<>();
        steps.add(new Operation.Put(HEAD_KEY, head, 0));
        steps.add(new Operation.Put(historyKey(sequence), head, 0));
        if (sequence >= HISTORY_LIMIT) {
            steps.add(new Operation.Delete(KeyRange.of(historyKey(sequence - HISTORY_LIMIT))));
        }
        return store.transact(new Transaction(inventory.conditions(), steps, List.of()))
                .flatMap(result -> result.fold(
                        error -> retryAttempt(
                                error instanceof KeyValueError.UnknownEffect ? attempt.withPossibleCommit() : attempt,
                                error),
                        response -> right(new ApplyResult.Accepted(response.revision()))));
    }

    /**
     * Starts the next attempt after a delay, or returns the failure if no attempt is left or the error is permanent.
     * The next attempt reads the inventory again, which shows what the failed calls changed.
     */
    private Mono<Either<TableStoreError, ApplyResult>> retryAttempt(Attempt attempt, KeyValueError error) {
        boolean repeatable = error.isTransient() || error instanceof KeyValueError.Conflict;
        if (!repeatable || attempt.number() >= delays.attemptLimit()) {
            return left(attempt.failure(error));
        }
        return Mono.delay(delay(attempt.number())).then(Mono.defer(() -> runAttempt(attempt.next())));
    }

    private Mono<Either<KeyValueError, Integer>> writeMissingChunks(List<TableChunk> chunks, Set<String> storedHashes) {
        Map<String, TableChunk> missing = new LinkedHashMap<>();
        chunks.stream()
                .filter(chunk -> !storedHashes.contains(chunk.hash()))
                .forEach(chunk -> missing.put(chunk.hash(), chunk));
        List<Transaction> batches = new ArrayList<>();
        List<Operation> batch = new ArrayList<>();
        int bytes = 0;
        for (TableChunk chunk : missing.values()) {
            boolean full = bytes + chunk.content().length > WRITE_BATCH_LIMIT_BYTES
                    || batch.size() == WRITE_BATCH_LIMIT_CHUNKS;
            if (full && !batch.isEmpty()) {
                batches.add(Transaction.of(batch));
                batch = new ArrayList<>();
                bytes = 0;
            }
            batch.add(new Operation.Put(CHUNK_PREFIX + chunk.hash(), chunk.content(), 0));
            bytes += chunk.content().length;
        }
        if (!batch.isEmpty()) {
            batches.add(Transaction.of(batch));
        }
        // The key of a chunk is the hash of its content, so repeating a write whose effect is unknown is harmless.
        return Flux.fromIterable(batches)
                .concatMap(transaction -> retry(() -> store.transact(transaction)))
                .takeUntil(Either::isLeft)
                .collectList()
                .map(results -> results.stream()
                        .filter(Either::isLeft)
                        .findFirst()
                        .<Either<KeyValueError, Integer>>map(failed -> Either.left(failed.getLeft()))
                        .orElse(Either.right(missing.size())));
    }

    private Mono<Either<TableStoreError, TableSnapshot>> loadSnapshot(long version, TableHead head) {
        Map<String, TableChunk> cached = cachedChunks;
        Set<String> missing = new LinkedHashSet<>(head.chunks());
        missing.removeAll(cached.keySet());
        List<List<String>> batches = new ArrayList<>();
        List<String> hashes = List.copyOf(missing);
        for (int i = 0; i < hashes.size(); i += READ_BATCH_LIMIT_CHUNKS) {
            batches.add(hashes.subList(i, Math.min(hashes.size(), i + READ_BATCH_LIMIT_CHUNKS)));
        }
        return Flux.fromIterable(batches)
                .concatMap(this::fetchChunks)
                .takeUntil(Either::isLeft)
                .collectList()
                .map(results -> {
                    Map<String, TableChunk> available = new HashMap<>(cached);
                    for (Either<TableStoreError, List<TableChunk>> result : results) {
                        if (result.isLeft()) {
                            return Either.left(result.getLeft());
                        }
                        result.get().forEach(chunk -> available.put(chunk.hash(), chunk));
                    }
                    return buildSnapshot(version, head, available);
                });
    }

    private Mono<Either<TableStoreError, List<TableChunk>>> fetchChunks(List<String> hashes) {
        List<Operation> steps = new ArrayList<>();
        hashes.forEach(hash -> steps.add(new Operation.Range(KeyRange.of(CHUNK_PREFIX + hash), false)));
        return mapRight(retry(() -> store.transact(Transaction.of(steps))).map(this::toStoreError), result -> {
            List<TableChunk> chunks = new ArrayList<>();
            result.steps()
                    .forEach(entries -> entries.forEach(entry ->
                            chunks.add(new TableChunk(entry.key().substring(CHUNK_PREFIX.length()), entry.value()))));
            return chunks;
        });
    }

    private Either<TableStoreError, TableSnapshot> buildSnapshot(
            long version, TableHead head, Map<String, TableChunk> available) {
        List<TableChunk> chunks = new ArrayList<>();
        Map<String, TableChunk> used = new HashMap<>();
        for (String hash : head.chunks()) {
            TableChunk chunk = available.get(hash);
            if (chunk == null) {
                return Either.left(new TableStoreError.Damaged(
                        "chunk " + hash + " of version " + version + " is missing", List.of()));
            }
            chunks.add(chunk);
            used.put(hash, chunk);
        }
        Either<TableStoreError, Table> table = TableChunks.join(chunks)
                .mapLeft(problems -> new TableStoreError.Damaged(
                        "version " + version + " of the table is invalid: " + problems.get(0), problems));
        table.forEach(joined -> cachedChunks = used);
        return table.map(joined -> new TableSnapshot(version, head, joined));
    }

    private Mono<Either<TableStoreError, Inventory>> readInventory(Attempt attempt) {
        return readInventory()
                .map(result -> result.mapLeft(error ->
                        error instanceof TableStoreError.StoreFailed failed ? attempt.failure(failed.error()) : error));
    }

    /** Reads the head, the garbage collection marker, the history and the hashes of the chunks at one revision. */
    private Mono<Either<TableStoreError, Inventory>> readInventory() {
        Transaction reading = Transaction.of(List.of(
                new Operation.Range(KeyRange.of(HEAD_KEY), false),
                new Operation.Range(KeyRange.of(COLLECTION_MARKER_KEY), true),
                new Operation.Range(KeyRange.prefix(HISTORY_PREFIX), false),
                new Operation.Range(KeyRange.prefix(CHUNK_PREFIX), true)));
        return flatMapRight(retry(() -> store.transact(reading)), result -> {
            List<TableVersion> history = new ArrayList<>();
            Option<TableVersion> head = Option.none();
            for (KeyValue entry : result.steps().get(0)) {
                Either<TableStoreError, TableVersion> parsed = parseHead(entry);
                if (parsed.isLeft()) {
                    return left(parsed.getLeft());
                }
                head = Option.some(parsed.get());
            }
            for (KeyValue entry : result.steps().get(2)) {
                Either<TableStoreError, TableVersion> parsed = parseHead(entry);
                if (parsed.isLeft()) {
                    return left(parsed.getLeft());
                }
                history.add(parsed.get());
            }
            long markerRevision = result.steps().get(1).stream()
                    .mapToLong(KeyValue::modRevision)
                    .findFirst()
                    .orElse(0);
            Map<String, Long> chunkRevisions = new LinkedHashMap<>();
            result.steps()
                    .get(3)
                    .forEach(entry ->
                            chunkRevisions.put(entry.key().substring(CHUNK_PREFIX.length()), entry.modRevision()));
            return right(new Inventory(head, markerRevision, history, chunkRevisions));
        });
    }

    private <T> Mono<Either<KeyValueError, T>> retry(Supplier<Mono<Either<KeyValueError, T>>> call) {
        return retry(call, 1);
    }

    private <T> Mono<Either<KeyValueError, T>> retry(Supplier<Mono<Either<KeyValueError, T>>> call, int attemptNumber) {
        return Mono.defer(call).flatMap(result -> {
            if (result.isRight() || !result.getLeft().isTransient() || attemptNumber >= delays.attemptLimit()) {
                return Mono.just(result);
            }
            return Mono.delay(delay(attemptNumber)).then(Mono.defer(() -> retry(call, attemptNumber + 1)));
        });
    }

    private Duration delay(int attemptNumber) {
        synchronized (random) {
            return delays.delayAfter(attemptNumber, random);
        }
    }

    private <T> Either<TableStoreError, T> toStoreError(Either<KeyValueError, T> result) {
        return result.mapLeft(TableStoreError.StoreFailed::new);
    }

    private <T, R> Mono<Either<TableStoreError, R>> flatMapRight(
            Mono<? extends Either<?, T>> source, Function<T, Mono<Either<TableStoreError, R>>> next) {
        return source.flatMap(result -> {
            if (result.isRight()) {
                return next.apply(result.get());
            }
            Object error = result.getLeft();
            return left(
                    error instanceof KeyValueError failed
                            ? new TableStoreError.StoreFailed(failed)
                            : (TableStoreError) error);
        });
    }

    private static <T, R> Mono<Either<TableStoreError, R>> mapRight(
            Mono<Either<TableStoreError, T>> source, Function<T, R> function) {
        return source.map(result -> result.map(function));
    }

    private static <T> Mono<Either<TableStoreError, T>> right(T value) {
        return Mono.just(Either.right(value));
    }

    private static <T> Mono<Either<TableStoreError, T>> left(TableStoreError error) {
        return Mono.just(Either.left(error));
    }

    private static Either<TableStoreError, TableVersion> parseHead(KeyValue entry) {
        try {
            return Either.right(new TableVersion(entry.modRevision(), TableHead.read(entry.value())));
        } catch (KeyValueFormatException e) {
            return Either.left(new TableStoreError.Damaged(entry.key() + ": " + e.getMessage(), List.of()));
        }
    }

    private static String historyKey(long sequence) {
        // Zero padding makes the byte order of the keys the order of the changes.
        return HISTORY_PREFIX + String.format("%012d", sequence);
    }

    /**
     * The content of the store at one revision.
     *
     * @param head the newest head; empty if there is none
     * @param markerRevision the revision of the garbage collection marker, or 0 if it was never written
     * @param history the last heads, the oldest first
     * @param chunkRevisions the revision at which each chunk was last written, by the hash of the chunk
     */
    private record Inventory(
            Option<TableVersion> head,
            long markerRevision,
            List<TableVersion> history,
            Map<String, Long> chunkRevisions) {
        long headVersion() {
            return head.map(TableVersion::version).getOrElse(0L);
        }

        /** Returns the version that a change created; empty if the history doesn't contain the change. */
        Option<Long> acceptedVersion(String changeId) {
            for (TableVersion version : history) {
                if (version.head().changeId().equals(changeId)) {
                    return Option.some(version.version());
                }
            }
            return Option.none();
        }

        List<Compare> conditions() {
            return List.of(
                    Compare.unchangedSince(HEAD_KEY, headVersion()),
                    Compare.unchangedSince(COLLECTION_MARKER_KEY, markerRevision));
        }
    }

    /**
     * One attempt to apply a change.
     *
     * @param possiblyCommitted whether the effect of an earlier commit is unknown; every later failure is then
     *     {@link TableStoreError.Undetermined}
     */
    private record Attempt(TableChange change, List<TableChunk> chunks, int number, boolean possiblyCommitted) {
        Attempt next() {
            return new Attempt(change, chunks, number + 1, possiblyCommitted);
        }

        Attempt withPossibleCommit() {
            return new Attempt(change, chunks, number, true);
        }

        TableStoreError failure(KeyValueError error) {
            return possiblyCommitted
                    ? new TableStoreError.Undetermined(change.changeId(), error)
                    : new TableStoreError.StoreFailed(error);
        }
    }
}
