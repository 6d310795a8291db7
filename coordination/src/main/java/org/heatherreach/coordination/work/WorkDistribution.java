package org.heatherreach.coordination.work;

import java.util.concurrent.TimeUnit;

/**
 * The distribution of the work of similar requests: a histogram over logarithmic buckets whose samples decay with time
 * and with later samples, and the moments of the logarithm. Its size is constant.
 *
 * <p>Confined to one duty thread.
 */
final class WorkDistribution {
    /** With fewer samples than this the distribution says too little; a more general one is used. */
    static final int MIN_SAMPLES = 20;

    /** The weight of that many samples in quick succession, each of which makes the earlier ones decay. */
    private static final double MIN_WEIGHT = 19;

    private static final double FIRST_LIMIT_NANOS = 1e6;
    private static final int BUCKETS_PER_DOUBLING = 3;
    /** The last bucket begins at 65 s, beyond the time that callers wait. */
    private static final int BUCKETS = 16 * BUCKETS_PER_DOUBLING + 1;

    /** Forgets a change of the work within some minutes also if few requests show it. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(120);
    /** The share of the older samples that a sample replaces; the last 200 or so count. */
    private static final double SAMPLE_DECAY = 0.995;

    /**
     * The weight of an imaginary request that takes as long again as it has taken; it decides how much is left of a
     * request that runs longer than those seen.
     */
    private static final double TAIL_WEIGHT = 0.3;

    /** The distance of the 99th percentile of a normal distribution from its mean, in standard deviations. */
    private static final double P99_DEVIATIONS = 2.326;

    private static final double P99_TAIL = 0.01;
    private static final double LOG_BUCKETS_PER_UNIT = BUCKETS_PER_DOUBLING / Math.log(2);
    private static final double[] MIDDLE_NANOS = new double[BUCKETS];

    static {
        for (int i = 0; i < BUCKETS; i++) {
            MIDDLE_NANOS[i] = FIRST_LIMIT_NANOS * Math.pow(2, (i - 0.5) / BUCKETS_PER_DOUBLING);
        }
    }

    private final float[] weights = new float[BUCKETS];
    private double weight;
    private double sumNanos;
    private double logSum;
    private double logSquareSum;
    private long updateNanos;

    WorkDistribution(long nowNanos) {
        this.updateNanos = nowNanos;
    }

    /** Records the work of a request. */
    void record(double workNanos, long nowNanos) {
        double kept = SAMPLE_DECAY * keptShare(nowNanos);
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] *= (float) kept;
        }
        double log = Math.log(Math.max(1, workNanos));
        weights[bucketOf(workNanos)] += 1;
        weight = weight * kept + 1;
        sumNanos = sumNanos * kept + workNanos;
        logSum = logSum * kept + log;
        logSquareSum = logSquareSum * kept + log * log;
        updateNanos = nowNanos;
    }

    /** Returns whether there are enough samples that have not decayed. */
    boolean isReliable(long nowNanos) {
        return weight * keptShare(nowNanos) >= MIN_WEIGHT;
    }

    double meanNanos() {
        return sumNanos / weight;
    }

    /** Returns the mean of the natural logarithm of the work in nanoseconds. */
    double logMean() {
        return logSum / weight;
    }

    /** Returns the standard deviation of the natural logarithm of the work. */
    double logDeviation() {
        double mean = logMean();
        return Math.sqrt(Math.max(0, logSquareSum / weight - mean * mean));
    }

    /** Returns the work that is expected to be left of a request on which the given work has been done. */
    double remainingNanos(double doneNanos) {
        int first = bucketOf(doneNanos);
        double tailWeight = TAIL_WEIGHT;
        double tailNanos = TAIL_WEIGHT * doneNanos;
        for (int i = first; i < BUCKETS; i++) {
            double leftNanos = MIDDLE_NANOS[i] - doneNanos;
            if (leftNanos > 0) {
                tailWeight += weights[i];
                tailNanos += weights[i] * leftNanos;
            }
        }
        return tailNanos / tailWeight;
    }

    /**
     * Returns the 99th percentile, at least that of a log-normal distribution with the same moments, because few samples
     * contain no rare ones.
     */
    double p99Nanos() {
        double tail = P99_TAIL * weight;
        int bucket = BUCKETS - 1;
        while (bucket > 0 && weights[bucket] < tail) {
            tail -= weights[bucket];
            bucket--;
        }
        double upperLimitNanos = FIRST_LIMIT_NANOS * Math.pow(2, (double) bucket / BUCKETS_PER_DOUBLING);
        return Math.max(upperLimitNanos, Math.exp(logMean() + P99_DEVIATIONS * logDeviation()));
    }

    private double keptShare(long nowNanos) {
        return Math.pow(0.5, (nowNanos - updateNanos) / HALF_LIFE_NANOS);
    }

    /** Returns the bucket of a work; bucket 0 has what is below the first limit. */
    private static int bucketOf(double workNanos) {
        if (workNanos < FIRST_LIMIT_NANOS) {
            return 0;
        }
        return Math.min(BUCKETS - 1, 1 + (int) (Math.log(workNanos / FIRST_LIMIT_NANOS) * LOG_BUCKETS_PER_UNIT));
    }
}
