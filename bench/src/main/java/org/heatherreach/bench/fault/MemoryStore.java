package org.heatherreach.bench.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.heatherreach.protocol.kv.Compare;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.Lease;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.Transaction;
import org.heatherreach.protocol.kv.TransactionResult;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.KeyValueStore;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The key-value service in memory: revisions, conditions and the faults of {@link StoreMode}. Every call completes at
 * once on the caller's thread. Confined to one thread.
 */
final class MemoryStore implements KeyValueStore {
    private final boolean unconditional;
    private final NavigableMap<String, KeyValue> entries = new TreeMap<>();
    /** Takes a write that takes effect only later. */
    private final Consumer<Runnable> postpone;

    private Consumer<Transaction> beforeWrite = transaction -> {};
    private Consumer<Transaction> afterWrite = transaction -> {};
    private StoreMode mode = StoreMode.NORMAL;
    private long revision = 1;

    /**
     * Creates an empty store.
     *
     * @param unconditional whether conditions are taken to hold, so that the last write wins
     */
    MemoryStore(boolean unconditional, Consumer<Runnable> postpone) {
        this.unconditional = unconditional;
        this.postpone = postpone;
    }

    void observe(Consumer<Transaction> before, Consumer<Transaction> after) {
        beforeWrite = before;
        afterWrite = after;
    }

    void change(StoreMode newMode) {
        mode = newMode;
    }

    StoreMode mode() {
        return mode;
    }

    long modRevision(String key) {
        return entries.containsKey(key) ? entries.get(key).modRevision() : 0;
    }

    @Override
    public Mono<Either<KeyValueError, RangeResult>> range(KeyRange range, boolean keysOnly) {
        return Mono.fromSupplier(() -> mode == StoreMode.OUTAGE
                ? Either.left(new KeyValueError.Unavailable("outage"))
                : Either.right(new RangeResult(revision, select(range, keysOnly))));
    }

    @Override
    public Mono<Either<KeyValueError, TransactionResult>> transact(Transaction transaction) {
        return Mono.fromSupplier(() -> call(transaction));
    }

    private Either<KeyValueError, TransactionResult> call(Transaction transaction) {
        if (!transaction.writes()) {
            return mode == StoreMode.OUTAGE
                    ? Either.left(new KeyValueError.Unavailable("outage"))
                    : execute(transaction);
        }
        beforeWrite.accept(transaction);
        if (mode == StoreMode.OUTAGE) {
            return Either.left(new KeyValueError.Unavailable("outage"));
        }
        if (mode == StoreMode.SLOW) {
            postpone.accept(() -> {
                if (execute(transaction).isRight()) {
                    afterWrite.accept(transaction);
                }
            });
            return Either.left(new KeyValueError.UnknownEffect("time-out"));
        }
        Either<KeyValueError, TransactionResult> result = execute(transaction);
        if (result.isRight()) {
            afterWrite.accept(transaction);
        }
        return mode == StoreMode.ANSWER_LOST ? Either.left(new KeyValueError.UnknownEffect("answer lost")) : result;
    }

    private Either<KeyValueError, TransactionResult> execute(Transaction transaction) {
        if (!unconditional && !transaction.conditions().stream().allMatch(this::holds)) {
            return Either.left(new KeyValueError.Conflict(List.of()));
        }
        if (transaction.writes()) {
            revision++;
        }
        List<List<KeyValue>> steps = new ArrayList<>();
        for (Operation operation : transaction.success()) {
            if (operation instanceof Operation.Put put) {
                KeyValue old = entries.get(put.key());
                entries.put(
                        put.key(),
                        new KeyValue(
                                put.key(),
                                put.value(),
                                old == null ? revision : old.createRevision(),
                                revision,
                                old == null ? 1 : old.version() + 1,
                                put.leaseId()));
                steps.add(List.of());
            } else if (operation instanceof Operation.Delete delete) {
                select(delete.range(), true).forEach(entry -> entries.remove(entry.key()));
                steps.add(List.of());
            } else if (operation instanceof Operation.Range range) {
                steps.add(select(range.range(), range.keysOnly()));
            }
        }
        return Either.right(new TransactionResult(revision, true, steps));
    }

    private boolean holds(Compare condition) {
        KeyValue entry = entries.get(condition.key());
        long number = entry == null
                ? 0
                : switch (condition.target()) {
                    case VERSION -> entry.version();
                    case CREATE -> entry.createRevision();
                    case MOD -> entry.modRevision();
                };
        return switch (condition.operator()) {
            case EQUAL -> number == condition.number();
            case GREATER -> number > condition.number();
            case LESS -> number < condition.number();
            case NOT_EQUAL -> number != condition.number();
        };
    }

    private List<KeyValue> select(KeyRange range, boolean keysOnly) {
        return entries.values().stream()
                .filter(entry -> range.isPrefix()
                        ? entry.key().startsWith(range.key())
                        : entry.key().equals(range.key()))
                .map(entry -> keysOnly
                        ? new KeyValue(
                                entry.key(),
                                new byte[0],
                                entry.createRevision(),
                                entry.modRevision(),
                                entry.version(),
                                entry.leaseId())
                        : entry)
                .toList();
    }

    @Override
    public Mono<Either<KeyValueError, Long>> put(Operation.Put put) {
        return transact(Transaction.of(List.of(put))).map(result -> result.map(TransactionResult::revision));
    }

    @Override
    public Mono<Either<KeyValueError, Long>> delete(KeyRange range) {
        return transact(Transaction.of(List.of(new Operation.Delete(range))))
                .map(result -> result.map(TransactionResult::revision));
    }

    @Override
    public Mono<Either<KeyValueError, Lease>> grantLease(long ttlSeconds) {
        throw new UnsupportedOperationException("the table uses no lease");
    }

    @Override
    public Mono<Either<KeyValueError, Lease>> keepAlive(long leaseId) {
        throw new UnsupportedOperationException("the table uses no lease");
    }

    @Override
    public Mono<Either<KeyValueError, Long>> revokeLease(long leaseId) {
        throw new UnsupportedOperationException("the table uses no lease");
    }

    @Override
    public Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, long startRevision) {
        throw new UnsupportedOperationException("readers look at the head at each tick instead");
    }
}
