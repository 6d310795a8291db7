package org.heatherreach.coordination.admission;

/** Over which delays the retries of refused callers are spread. Stateless. */
public enum RetrySpread {
    /**
     * Over the expected wait, during which the backlog drains. Callers find free queue places as these appear; one that
     * stayed away for the whole wait would have to queue for a second time after it.
     */
    OVER_WAIT {
        @Override
        long minMillis(long expectedWaitNanos, int priority) {
            return MIN_MILLIS / 2;
        }

        @Override
        long widthMillis(long expectedWaitNanos) {
            return waitMillis(expectedWaitNanos) - MIN_MILLIS / 2;
        }
    },
    /**
     * After the expected wait, each priority after the more urgent ones. The width grows with the wait, since the number of
     * refused callers does so too.
     */
    BY_URGENCY {
        @Override
        long minMillis(long expectedWaitNanos, int priority) {
            return waitMillis(expectedWaitNanos) + Math.min(priority, LAST_PRIORITY) * widthMillis(expectedWaitNanos);
        }

        @Override
        long widthMillis(long expectedWaitNanos) {
            return Math.max(MIN_WIDTH_MILLIS, Math.min(MAX_WIDTH_MILLIS, waitMillis(expectedWaitNanos)));
        }
    };

    /** Lower bound of the expected wait; a shorter delay would make the caller retry before the queue has changed. */
    private static final long MIN_MILLIS = 100;

    /**
     * Upper bound of the expected wait; a longer delay would keep callers away long after a short burst of requests.
     */
    private static final long MAX_MILLIS = 10_000;

    private static final long MIN_WIDTH_MILLIS = 500;
    private static final long MAX_WIDTH_MILLIS = 2_000;
    /** Later priorities share the delays of this one, so that no caller is kept away for too long. */
    private static final int LAST_PRIORITY = 3;

    abstract long minMillis(long expectedWaitNanos, int priority);

    abstract long widthMillis(long expectedWaitNanos);

    private static long waitMillis(long expectedWaitNanos) {
        return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, expectedWaitNanos / 1_000_000));
    }
}
