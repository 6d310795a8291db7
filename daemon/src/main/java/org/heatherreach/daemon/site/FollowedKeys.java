package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.transport.kv.KeyFollower;
import org.heatherreach.transport.kv.KeyValueError;
import org.jboss.logging.Logger;

/**
 * Base class for state that follows a set of keys in the store; it also tracks whether the store is available.
 *
 * <p>Invariant: each outage of the store is logged once when it begins and once when it ends.
 *
 * <p>Thread safety: every method is synchronized and must not block.
 */
abstract class FollowedKeys implements KeyFollower.Listener {
    private static final Logger LOG = Logger.getLogger(FollowedKeys.class);

    private final String watched;
    private final long reregistrationNanos;
    private final LongSupplier nanoClock;
    private boolean storeFailing;
    private long reregistrationDeadlineNanos;

    /**
     * Creates an instance that regards the store as available.
     *
     * @param watched the name of the followed keys in the log
     * @param reregistrationMillis how long after an outage the owners of keys may take to register them again
     * @param nanoClock the monotonic clock
     */
    FollowedKeys(String watched, long reregistrationMillis, LongSupplier nanoClock) {
        this.watched = Objects.requireNonNull(watched, "watched");
        this.reregistrationNanos = TimeUnit.MILLISECONDS.toNanos(reregistrationMillis);
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.reregistrationDeadlineNanos = nanoClock.getAsLong();
    }

    /** Replaces the known keys with the result of a full read. */
    abstract void applyAll(RangeResult all);

    /** Applies a key that was set. */
    abstract void apply(KeyValue entry);

    /** Applies the deletion of a key, which may also be due to the end of its lease. */
    abstract void applyDeletion(String key, long revision);

    @Override
    public final synchronized void replace(RangeResult all) {
        upToDate();
        applyAll(all);
    }

    @Override
    public final synchronized void put(KeyValue entry) {
        upToDate();
        apply(entry);
    }

    @Override
    public final synchronized void deleted(String key, long revision) {
        upToDate();
        applyDeletion(key, revision);
    }

    @Override
    public final synchronized void upToDate() {
        if (storeFailing) {
            storeFailing = false;
            reregistrationDeadlineNanos = nanoClock.getAsLong() + reregistrationNanos;
            LOG.infof("dependency=store state=regained watched=%s", watched);
        }
    }

    @Override
    public final synchronized void storeFailed(KeyValueError error) {
        if (!storeFailing) {
            storeFailing = true;
            LOG.warnf("dependency=store state=lost watched=%s reason=\"%s\"", watched, error.reason());
        }
    }

    /**
     * Returns whether the store is unavailable or was until recently, so that a missing key may still be registered
     * again.
     */
    final synchronized boolean mayReregister() {
        return storeFailing || reregistrationDeadlineNanos - nanoClock.getAsLong() > 0;
    }
}
