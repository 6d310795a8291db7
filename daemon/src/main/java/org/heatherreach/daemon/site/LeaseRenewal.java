package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.heatherreach.protocol.kv.Lease;
import org.heatherreach.protocol.kv.Operation;
import org.heatherreach.protocol.peer.wire.DaemonEntry;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.KeyValueStore;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * The calls to the store that keep this daemon registered under a lease. {@link RegistrationState} decides which.
 *
 * <p>Invariants: the periodic renewals don't overlap, and nothing that one of them throws ends the series, because the
 * lease would end with it.
 *
 * <p>Thread safety: safe for use by any thread; no method blocks. The lock that guards the state is not held during a
 * call to the store.
 */
final class LeaseRenewal implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LeaseRenewal.class);
    private static final long LEASE_TTL_SECONDS = 4;

    /** Three renewals fit into the lease time, so the lease survives the loss of two in a row. */
    private static final long RENEWAL_INTERVAL_MILLIS = 1200;

    /** The longest time for a grant and a write, each of which the store client ends in half of it. */
    private static final long RENEWAL_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final KeyValueStore store;
    private final RegistrationState state;
    private final Object lock;
    private final DaemonEntry self;
    private final String key;
    private volatile Disposable renewals = Disposables.disposed();
    /** Until when a renewal counts as in progress; an Error can end one without a signal. */
    private long renewalDeadlineNanos = System.nanoTime();

    /**
     * Creates an instance that makes no calls yet.
     *
     * @param store the store
     * @param state decides about the calls
     * @param lock guards the state
     * @param self the entry of this daemon
     * @param key the key of the entry
     */
    LeaseRenewal(KeyValueStore store, RegistrationState state, Object lock, DaemonEntry self, String key) {
        this.store = Objects.requireNonNull(store, "store");
        this.state = Objects.requireNonNull(state, "state");
        this.lock = Objects.requireNonNull(lock, "lock");
        this.self = Objects.requireNonNull(self, "self");
        this.key = Objects.requireNonNull(key, "key");
    }

    /** Starts the periodic renewals. */
    void start() {
        renewals = Schedulers.parallel()
                .schedulePeriodically(this::renewUnlessInProgress, 0, RENEWAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Renews on another thread, beside the periodic renewals; does nothing unless they were started. */
    void renewSoon() {
        if (!renewals.isDisposed()) {
            Schedulers.parallel().schedule(this::renewUnlessInProgress);
        }
    }

    /** Renews also while another renewal is in progress. */
    void renewNow() {
        renew().subscribe();
    }

    /** Stops the renewals and revokes the lease, which deletes the entry. */
    @Override
    public void close() {
        renewals.dispose();
        long lease;
        synchronized (lock) {
            lease = state.leaseId();
        }
        if (lease != 0) {
            store.revokeLease(lease).subscribe();
        }
    }

    private void renewUnlessInProgress() {
        if (!beginRenewal()) {
            return;
        }
        try {
            renew().doFinally(signal -> endRenewal())
                    .subscribe(done -> {}, error -> LOG.errorf(error, "The lease could not be renewed"));
        } catch (Throwable e) {
            endRenewal();
            LOG.errorf(e, "The lease could not be renewed");
        }
    }

    private boolean beginRenewal() {
        synchronized (lock) {
            long nowNanos = System.nanoTime();
            if (renewalDeadlineNanos - nowNanos > 0) {
                return false;
            }
            renewalDeadlineNanos = nowNanos + RENEWAL_LIMIT_NANOS;
            return true;
        }
    }

    private void endRenewal() {
        synchronized (lock) {
            renewalDeadlineNanos = System.nanoTime();
        }
    }

    private Mono<Void> renew() {
        RegistrationState.Step step;
        long lease;
        synchronized (lock) {
            step = state.nextStep();
            lease = state.leaseId();
        }
        long sentNanos = System.nanoTime();
        return switch (step) {
            case GRANT_LEASE -> store.grantLease(LEASE_TTL_SECONDS).flatMap(granted -> handleGrant(granted, sentNanos));
            case RENEW_LEASE -> store.keepAlive(lease).flatMap(renewed -> handleRenewal(renewed, sentNanos));
            case WRITE_ENTRY -> writeEntry(lease);
            case NONE -> Mono.empty();
        };
    }

    private Mono<Void> handleGrant(Either<KeyValueError, Lease> granted, long sentNanos) {
        if (granted.isLeft()) {
            return Mono.empty();
        }
        synchronized (lock) {
            state.recordGrant(granted.get(), sentNanos);
        }
        return writeEntry(granted.get().id());
    }

    private Mono<Void> handleRenewal(Either<KeyValueError, Lease> renewed, long sentNanos) {
        if (renewed.isLeft()) {
            return Mono.empty();
        }
        RegistrationState.Step step;
        long lease;
        synchronized (lock) {
            step = state.recordRenewal(renewed.get(), sentNanos);
            lease = state.leaseId();
        }
        return switch (step) {
            case GRANT_LEASE, RENEW_LEASE -> renew();
            case WRITE_ENTRY -> writeEntry(lease);
            case NONE -> Mono.empty();
        };
    }

    private Mono<Void> writeEntry(long lease) {
        DaemonEntry entry;
        synchronized (lock) {
            entry = self.toBuilder().setLeaving(state.isLeaving()).build();
        }
        return store.put(new Operation.Put(key, entry.toByteArray(), lease))
                .doOnNext(this::handleWrite)
                .then();
    }

    private void handleWrite(Either<KeyValueError, Long> result) {
        synchronized (lock) {
            if (result.isRight()) {
                state.setRegistered(true);
            } else if (result.getLeft() instanceof KeyValueError.Rejected) {
                state.recordRejection();
            }
        }
    }
}
