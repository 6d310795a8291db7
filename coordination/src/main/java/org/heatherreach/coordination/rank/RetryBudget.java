package org.heatherreach.coordination.rank;

import java.util.Arrays;

/**
 * Bounds the retries of a service to a share of its requests of the last 10 s, rounded up to a whole retry.
 * Confined to one thread.
 */
public final class RetryBudget {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int SECONDS = 10;

    private final int[] requests = new int[SECONDS];
    private final int[] retries = new int[SECONDS];
    private final long startNanos;
    private int percent;
    private long second;
    private int requestSum;
    private int retrySum;

    /** Creates a budget with the given share. */
    public RetryBudget(int percent, long nowNanos) {
        this.percent = percent;
        this.startNanos = nowNanos;
    }

    /** Sets the share. */
    public void setPercent(int newPercent) {
        percent = newPercent;
    }

    /** Counts a new request. */
    public void recordRequest(long nowNanos) {
        advance(nowNanos);
        requests[(int) (second % SECONDS)]++;
        requestSum++;
    }

    /** Takes one retry from the budget; returns false if it is used up. */
    public boolean tryRetry(long nowNanos) {
        advance(nowNanos);
        if ((long) retrySum * 100 >= (long) requestSum * percent) {
            return false;
        }
        retries[(int) (second % SECONDS)]++;
        retrySum++;
        return true;
    }

    private void advance(long nowNanos) {
        long current = (nowNanos - startNanos) / SECOND_NANOS;
        if (current - second >= SECONDS) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
            requestSum = 0;
            retrySum = 0;
            second = current;
            return;
        }
        while (second < current) {
            second++;
            int index = (int) (second % SECONDS);
            requestSum -= requests[index];
            retrySum -= retries[index];
            requests[index] = 0;
            retries[index] = 0;
        }
    }
}
