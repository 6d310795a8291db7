package org.heatherreach.transport.kv;

import java.util.function.Consumer;

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
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The platform's key-value service. Expected failures are left values, never error signals. Each subscription to a
 * result makes one call, which the implementation does not retry. Implementations are safe for use by any thread.
 */
public interface KeyValueStore {
    /** Reads keys at one revision. */
    Mono<Either<KeyValueError, RangeResult>> range(KeyRange range, boolean keysOnly);

    /**
     * Sets a key and returns the revision. The result is a {@link KeyValueError.Rejected} if the lease does not exist, or
     * was granted in an earlier era of the service.
     */
    Mono<Either<KeyValueError, Long>> put(Operation.Put put);

    /** Deletes keys and returns the revision. */
    Mono<Either<KeyValueError, Long>> delete(KeyRange range);

    /** Runs a transaction. If a condition does not hold, the result is a {@link KeyValueError.Conflict}. */
    Mono<Either<KeyValueError, TransactionResult>> transact(Transaction transaction);

    /** Creates a lease. */
    Mono<Either<KeyValueError, Lease>> grantLease(long ttlSeconds);

    /**
     * Renews a lease; the result has a TTL of 0 if the lease has expired. A lease that was granted in an earlier era of
     * the service counts as expired, because its id may have been given out again.
     */
    Mono<Either<KeyValueError, Lease>> keepAlive(long leaseId);

    /** Revokes a lease, which deletes its keys, and returns the revision. */
    Mono<Either<KeyValueError, Long>> revokeLease(long leaseId);

    /**
     * Reports changes from a start revision on, or from the current revision on if the start revision is 0. The watch
     * ends only when its subscription is disposed of: after a failure it emits the error, reconnects after a randomly
     * jittered delay and continues where it stopped, without gaps unless it reports {@link WatchEvent.Compacted}. A
     * {@link WatchEvent.Current} means that every change up to its revision has been reported.
     */
    Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, long startRevision);

    /**
     * Reports changes as {@link #watch(KeyRange, long)} does, from a revision of a certain era on. If the service has
     * left that era, the watch reports {@link WatchEvent.Compacted}, because it can't know what changed in between.
     * Clients of a service without eras need not override it.
     */
    default Flux<Either<KeyValueError, WatchEvent>> watch(KeyRange range, StoreRevision start) {
        return watch(range, start.revision());
    }

    /**
     * Makes later calls, and the watches, use new connections. Called when the store is known to have changes that a watch
     * has not reported. Clients that detect a broken connection of a watch by themselves need not do anything.
     */
    default void reconnect() {}

    /**
     * Limits the wait of the polls of watches that begin later, so that the service confirms their revisions more often.
     * Clients without polls need not do anything.
     *
     * @param limitMillis the longest wait; {@link Long#MAX_VALUE} for no limit
     */
    default void limitPollWait(long limitMillis) {}

    /**
     * Sets who is told of each response whose status is invalid. Its call fails, a write with
     * {@link KeyValueError.UnknownEffect}.
     */
    default void observeInvalidStatuses(Consumer<InvalidStatus> listener) {}
}
