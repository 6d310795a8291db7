package org.heatherreach.coordination.admission;

import java.util.Objects;
import java.util.random.RandomGenerator;

/** Computes the delay after which a refused caller should retry. Confined to one thread. */
public final class RetryHint {
    private final RandomGenerator random;
    private final RetrySpread spread;

    /** Creates a source of delays that are spread over the expected wait. */
    public RetryHint(RandomGenerator random) {
        this(random, RetrySpread.OVER_WAIT);
    }

    /** Creates a source of delays. */
    public RetryHint(RandomGenerator random, RetrySpread spread) {
        this.random = Objects.requireNonNull(random, "random");
        this.spread = Objects.requireNonNull(spread, "spread");
    }

    /** Returns a random delay for a request of the most urgent priority. */
    public long randomDelayMillis(long expectedWaitNanos) {
        return randomDelayMillis(expectedWaitNanos, 0);
    }

    /**
     * Returns a random delay, uniformly distributed, so that callers do not retry all at once.
     *
     * @param expectedWaitNanos the time after which capacity is expected
     * @param priority the priority of the request; 0 is the most urgent
     */
    public long randomDelayMillis(long expectedWaitNanos, int priority) {
        return minDelayMillis(expectedWaitNanos, priority)
                + (long) (random.nextDouble() * spread.widthMillis(expectedWaitNanos));
    }

    /** Returns whether no delay is shorter than the expected wait, so that this has to include the queue. */
    public boolean followsWait() {
        return spread == RetrySpread.BY_URGENCY;
    }

    /** Returns the lower bound of the random delays. */
    public long minDelayMillis(long expectedWaitNanos, int priority) {
        return spread.minMillis(expectedWaitNanos, priority);
    }

    /** Returns the upper bound of the random delays. */
    public long maxDelayMillis(long expectedWaitNanos, int priority) {
        return minDelayMillis(expectedWaitNanos, priority) + spread.widthMillis(expectedWaitNanos);
    }
}
