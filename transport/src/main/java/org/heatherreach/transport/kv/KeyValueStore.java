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

/**
 * The platform's key-value service. Expected failures are left values, never error signals. Each subscription to a
 * result is one call; no call is retried inside. Implementations are safe for use by any thread.
 */
public interface KeyValueStore {
    /** Reads keys at one revision. */
    Mono<Either<KeyValueError, RangeResult>> range(KeyRange range, boolean keysOnly);

    /** Sets a key and returns the revision. */
    Mono<Either<KeyValueError, Long>> put(Operation.Put put);

    /** Deletes keys and returns the revision. */
    Mono<Either<KeyValueError, Long>> delete(KeyRange range);

    /** Runs a transaction. If a condition does not hold, the result is a {@link KeyValueError.Conflict}. */
    Mono<Either<KeyValueError, TransactionResult>> transact(Transaction transaction);

    /** Grants a new lease. */
    Mono<Either<KeyValueError, Lease>> grantLease(long ttlSeconds);

    /** Renews a lease; the result has a TTL of 0 if the lease has expired. */
    Mono<Either<KeyValueError, Lease>> keepAlive(long leaseId);

    /** Ends a lease and deletes its keys; returns the revision. */
    Mono<Either<KeyValueError, Long>> revokeLease(long leaseId);

    /**
     * Reports changes from a revision on, or from now on if it is 0. The watch never ends by itself: after a failure it
     * emits the error, connects again after a randomly jittered delay and continues where it stopped, without gaps
     * unless it reports {@link WatchEvent.Compacted}. {@link WatchEvent.Current} says that nothing is left to report.
     */
    Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, long startRevision);
}
