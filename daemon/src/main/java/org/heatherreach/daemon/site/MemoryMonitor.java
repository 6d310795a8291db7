package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.heatherreach.transport.http.MemoryBudget;
import org.jboss.logging.Logger;

/**
 * Logs when the daemon begins and ceases to refuse requests for lack of memory, and decides whether it is ready in that
 * respect.
 *
 * <p>Invariant: a daemon that refuses only the less urgent requests stays ready.
 *
 * <p>{@link #check} is confined to one thread; the rest is safe for use by any thread.
 */
final class MemoryMonitor {
    /** A daemon that accepts nothing for this long sends its callers to other daemons. */
    static final long EXHAUSTED_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Refusals that are further apart belong to different overloads. */
    static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final Logger LOG = Logger.getLogger(MemoryMonitor.class);

    private final MemoryBudget memory;
    private final LongSupplier refusalCount;
    private final LongSupplier clock;
    private long seenRefusals;
    private long refusalsBefore;
    private long lastRefusalNanos;
    private boolean refusing;

    /**
     * Creates a monitor of a budget from which nothing has been refused.
     *
     * @param refusalCount returns how many requests have been refused for lack of memory
     */
    MemoryMonitor(MemoryBudget memory, LongSupplier refusalCount, LongSupplier clock) {
        this.memory = Objects.requireNonNull(memory, "memory");
        this.refusalCount = Objects.requireNonNull(refusalCount, "refusalCount");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns whether the daemon can accept the most urgent requests, or could a short time ago. */
    boolean isReady() {
        return !memory.isExhaustedFor(EXHAUSTED_NANOS);
    }

    /** Returns whether requests were refused at one of the last checks. */
    boolean isRefusing() {
        return refusing;
    }

    /** Compares the refusals with those of the previous check. */
    void check() {
        long refusals = refusalCount.getAsLong();
        long nowNanos = clock.getAsLong();
        if (refusals > seenRefusals) {
            if (!refusing) {
                refusing = true;
                refusalsBefore = seenRefusals;
                LOG.warnf(
                        "memory state=refusing used-bytes=%d budget-bytes=%d",
                        memory.usedBytes(), memory.capacityBytes());
            }
            seenRefusals = refusals;
            lastRefusalNanos = nowNanos;
        } else if (refusing && nowNanos - lastRefusalNanos >= QUIET_NANOS) {
            refusing = false;
            LOG.infof(
                    "memory state=within-budget used-bytes=%d budget-bytes=%d refused=%d",
                    memory.usedBytes(), memory.capacityBytes(), refusals - refusalsBefore);
        }
    }
}
