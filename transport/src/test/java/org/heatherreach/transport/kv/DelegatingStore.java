package org.heatherreach.transport.kv;

import io.vavr.control.Either;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.Lease;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.Transaction;
import org.heatherreach.protocol.kv.TransactionResult;
import org.heatherreach.protocol.kv.WatchEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Delegates every call to another store; a test overrides the calls that it changes. */
class DelegatingStore implements KeyValueStore {
    private final KeyValueStore store;

    DelegatingStore(KeyValueStore store) {
        this.store = store;
    }

    @Override
    public Mono<Either<KeyValueError, RangeResult>> range(KeyRange range, boolean keysOnly) {
        return store.range(range, keysOnly);
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
    public Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, long startRevision) {
        return store.watch(range, startRevision);
    }
}
