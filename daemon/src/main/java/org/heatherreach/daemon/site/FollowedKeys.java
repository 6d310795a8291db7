package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyFollower;
import org.heatherreach.transport.kv.KeyValueError;
import org.jboss.logging.Logger;

/**
 * Base class for state that follows a set of keys in the store; it also tracks whether the store is available.
 *
 * <p>Invariants: each outage of the store is logged once when it begins and once when it ends; a missing key may be
 * registered again only after an outage in which it can have expired, and not beyond the limit of the
 * {@link ReregistrationTerms}, counted from the earliest time at which the store can have been back. If the store came
 * back in a later era, a key may be registered again however short the outage was, because the copy may not have it.
 *
 * <p>Thread safety: every method is synchronized and must not block.
 */
abstract class FollowedKeys implements KeyFollower.Listener {
    private static final Logger LOG = Logger.getLogger(FollowedKeys.class);
    /** A shorter series of failures, such as a watch that was cut, keeps no owner from registering its key again. */
    private static final long MIN_INTERRUPTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /**
     * A later era is noticed within this time: leases are renewed every 1.2 s, and a renewal that gets no response ends
     * the waiting polls after 0.7 s.
     */
    private static final long ERA_NOTICE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1900);

    private static final long UNKNOWN_ERA = -1;

    private final String watched;
    private final ReregistrationTerms terms;
    private final LongSupplier nanoClock;
    private boolean storeFailing;
    private long lastResponseNanos;
    private long firstFailureNanos;
    private long lastFailureNanos;
    /** No call that began before this time can have shown that the store is back. */
    private long earliestReturnNanos;

    private long reregistrationDeadlineNanos;
    private long era = UNKNOWN_ERA;

    /**
     * Creates an instance that regards the store as available.
     *
     * @param watched the name of the followed keys in the log
     * @param terms when keys can expire in an outage, and how long their owners may take to register them again
     * @param nanoClock the monotonic clock
     */
    FollowedKeys(String watched, ReregistrationTerms terms, LongSupplier nanoClock) {
        this.watched = Objects.requireNonNull(watched, "watched");
        this.terms = Objects.requireNonNull(terms, "terms");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.lastResponseNanos = nanoClock.getAsLong();
        this.reregistrationDeadlineNanos = lastResponseNanos;
    }

    /** Replaces the known keys with the result of a full read. */
    abstract void applyAll(RangeResult all);

    /** Applies a key that was set. */
    abstract void apply(KeyValue entry);

    /** Applies the deletion of a key, which may also be due to the end of its lease. */
    abstract void applyDeletion(String key, StoreRevision revision);

    /** Called before the first full read of a later era is applied: what was written since the copy is gone. */
    void beginEra() {}

    /** Handles a response of the store after which every change up to its revision has been applied. */
    void applyUpToDate() {}

    @Override
    public final synchronized void replace(RangeResult all) {
        long previousEra = era;
        era = Math.max(era, all.revision().era());
        boolean eraChanged = previousEra != UNKNOWN_ERA && era > previousEra;
        recordResponse(eraChanged);
        if (eraChanged) {
            beginEra();
        }
        applyAll(all);
    }

    @Override
    public final synchronized void put(KeyValue entry) {
        recordResponse(false);
        apply(entry);
    }

    @Override
    public final synchronized void deleted(String key, StoreRevision revision) {
        recordResponse(false);
        applyDeletion(key, revision);
    }

    @Override
    public final void upToDate(StoreRevision revision) {
        recordResponse(false);
        applyUpToDate();
    }

    private synchronized void recordResponse(boolean eraChanged) {
        long nowNanos = nanoClock.getAsLong();
        if (eraChanged) {
            beginReregistration(nowNanos, earliestEraChangeNanos(nowNanos));
        }
        if (storeFailing) {
            storeFailing = false;
            long outageNanos = nowNanos - lastResponseNanos;
            if (!eraChanged) {
                extendReregistration(nowNanos, outageNanos);
            }
            LOG.infof(
                    "dependency=store state=regained watched=%s outage-ms=%d reregistration-ms=%d",
                    watched,
                    TimeUnit.NANOSECONDS.toMillis(outageNanos),
                    TimeUnit.NANOSECONDS.toMillis(Math.max(0, reregistrationDeadlineNanos - nowNanos)));
        }
        lastResponseNanos = nowNanos;
    }

    /** Gives the owners of keys that can have expired in the outage time to register them again. */
    private void extendReregistration(long nowNanos, long outageNanos) {
        // Keys that expired in an earlier outage were to be registered again when this one began.
        boolean interruptsReregistration = reregistrationDeadlineNanos - lastResponseNanos > 0
                && nowNanos - firstFailureNanos >= MIN_INTERRUPTION_NANOS;
        if (interruptsReregistration || outageNanos >= terms.minOutageNanos()) {
            beginReregistration(nowNanos, earliestReturnNanos);
        }
    }

    private void beginReregistration(long nowNanos, long earliestNanos) {
        long deadlineNanos = nowNanos + terms.reregistrationNanos();
        long limitNanos = earliestNanos + terms.limitNanos();
        reregistrationDeadlineNanos = deadlineNanos - limitNanos < 0 ? deadlineNanos : limitNanos;
    }

    /** Returns since when the store can have been in the era that was noticed now. */
    private long earliestEraChangeNanos(long nowNanos) {
        long earliestNanos = storeFailing ? earliestReturnNanos : lastResponseNanos;
        long limitNanos = nowNanos - ERA_NOTICE_LIMIT_NANOS;
        return earliestNanos - limitNanos < 0 ? limitNanos : earliestNanos;
    }

    @Override
    public final synchronized void storeFailed(KeyValueError error) {
        // The call that failed now was made after the previous event. Had the store been back before, it had succeeded.
        earliestReturnNanos = storeFailing ? lastFailureNanos : lastResponseNanos;
        lastFailureNanos = nanoClock.getAsLong();
        if (!storeFailing) {
            storeFailing = true;
            firstFailureNanos = lastFailureNanos;
            LOG.warnf("dependency=store state=lost watched=%s reason=\"%s\"", watched, error.reason());
        }
    }

    /** Returns whether the last call to the store failed. */
    final synchronized boolean isStoreFailing() {
        return storeFailing;
    }

    /**
     * Returns whether the store is unavailable or was until recently, so that a missing key may still be registered
     * again.
     */
    final synchronized boolean mayReregister() {
        return storeFailing || reregistrationDeadlineNanos - nanoClock.getAsLong() > 0;
    }

    /** Returns the era of the last full read; 0 before the first one. */
    final synchronized long era() {
        return Math.max(0, era);
    }
}
