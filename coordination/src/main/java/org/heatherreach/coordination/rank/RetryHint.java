package org.heatherreach.coordination.rank;

import java.util.Objects;
import java.util.random.RandomGenerator;

/** Computes the hint when a refused caller should try again. Confined to one thread. */
public final class RetryHint {
    /** A shorter hint would bring the caller back before the queue has changed. */
    private static final long MIN_MILLIS = 100;

    /** A longer hint would keep callers away long after a short flood. */
    private static final long MAX_MILLIS = 10_000;

    private final RandomGenerator random;

    /** Creates a source of hints. */
    public RetryHint(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns a time drawn evenly over the expected wait, in which the backlog drains, so that callers do not return
     * together and find room as it appears. A caller that stays away for the whole wait queues a second time after it.
     */
    public long drawMillis(long expectedWaitNanos) {
        long baseMillis = Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, expectedWaitNanos / 1_000_000));
        return MIN_MILLIS / 2 + (long) (random.nextDouble() * (baseMillis - MIN_MILLIS / 2));
    }
}
