package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.function.LongSupplier;

import org.heatherreach.transport.kv.KeyValueError;
import org.jboss.logging.Logger;

/**
 * Whether the store answers, as one follower of its keys sees it. Each loss and each return is logged once.
 *
 * <p>Invariant: keys that ended while the store was away, or before their owners had time to write them again, may return.
 *
 * <p>Confined by its owner: calls are sequential.
 */
final class StoreDependency {
    private static final Logger LOG = Logger.getLogger(StoreDependency.class);

    private final String watched;
    private final long returnNanos;
    private final LongSupplier nanoClock;
    private boolean lost;
    private long returnDeadlineNanos;

    /**
     * Creates the state of a store that answers.
     *
     * @param watched what is followed, for the log
     * @param returnNanos how long after the return of the store its keys may take to return
     * @param nanoClock the monotonic clock
     */
    StoreDependency(String watched, long returnNanos, LongSupplier nanoClock) {
        this.watched = Objects.requireNonNull(watched, "watched");
        this.returnNanos = returnNanos;
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.returnDeadlineNanos = nanoClock.getAsLong();
    }

    /** Notes that the store did not answer as it should. */
    void lose(KeyValueError error) {
        if (!lost) {
            lost = true;
            LOG.warnf("dependency=store state=lost watched=%s reason=\"%s\"", watched, error.reason());
        }
    }

    /** Notes that the store answered. */
    void regain() {
        if (lost) {
            lost = false;
            returnDeadlineNanos = nanoClock.getAsLong() + returnNanos;
            LOG.infof("dependency=store state=regained watched=%s", watched);
        }
    }

    /** Returns whether a key that is missing now may still be written again. */
    boolean mayReturn() {
        return lost || returnDeadlineNanos - nanoClock.getAsLong() > 0;
    }
}
