package org.heatherreach.coordination.work;

import java.util.concurrent.TimeUnit;

/**
 * What is expected of the work of one request: a mixture of the distribution of its key and of that of the whole
 * service, according to how well the keys have predicted lately. If they predict no better than the service as a whole,
 * only the latter counts, so that wrong estimates have no effect on the choice.
 *
 * <p>Reads distributions that change as requests complete; confined to the duty thread of the estimator.
 */
public final class WorkEstimate {
    /** The assumed mean while too few requests have completed. */
    static final double INITIAL_MEAN_NANOS = 200e6;

    private static final double INITIAL_LOG_DEVIATION = 1;
    /** A request that is silent for this many times the 99th percentile counts as stalled. */
    private static final double STALL_FACTOR = 3;

    private static final long MIN_STALL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final WorkEstimate UNKNOWN = new WorkEstimate(null, null, null, 0);

    private final WorkKey key;
    private final WorkDistribution ofKey;
    private final WorkDistribution ofService;
    private final double trust;
    private final double meanNanos;
    private final double serviceMeanNanos;
    private final double keyLogMean;
    private final double serviceLogMean;
    private final double logDeviation;
    private final long stallNanos;

    /**
     * Creates an estimate.
     *
     * @param key the key of the request; null if it has none
     * @param ofKey the distribution of the most special key with enough samples; null if there is none
     * @param ofService the distribution of the service; null if it has too few samples
     * @param trust the weight of the key's distribution, from 0 to 1
     */
    WorkEstimate(WorkKey key, WorkDistribution ofKey, WorkDistribution ofService, double trust) {
        this.key = key;
        this.ofService = ofService;
        this.ofKey = ofKey == null ? ofService : ofKey;
        this.trust = trust;
        if (ofService == null) {
            serviceMeanNanos = INITIAL_MEAN_NANOS;
            meanNanos = INITIAL_MEAN_NANOS;
            serviceLogMean = Math.log(INITIAL_MEAN_NANOS);
            keyLogMean = serviceLogMean;
            logDeviation = INITIAL_LOG_DEVIATION;
            stallNanos = 0;
        } else {
            serviceMeanNanos = ofService.meanNanos();
            meanNanos = mix(this.ofKey.meanNanos(), serviceMeanNanos);
            serviceLogMean = ofService.logMean();
            keyLogMean = this.ofKey.logMean();
            logDeviation = mix(this.ofKey.logDeviation(), ofService.logDeviation());
            stallNanos = Math.max(MIN_STALL_NANOS, (long) (STALL_FACTOR * this.ofKey.p99Nanos()));
        }
    }

    /** Returns the estimate for a request of which nothing is known. */
    public static WorkEstimate unknown() {
        return UNKNOWN;
    }

    /** Returns whether enough requests of the service have completed. */
    public boolean isKnown() {
        return ofService != null;
    }

    /** Returns the expected work of the request. */
    public double meanNanos() {
        return meanNanos;
    }

    /** Returns the expected work of a request of the service, whatever its key. */
    public double serviceMeanNanos() {
        return serviceMeanNanos;
    }

    /** Returns after which silence the request counts as stalled; 0 if that is unknown. */
    public long stallNanos() {
        return stallNanos;
    }

    /** Returns the work that is expected to be left after the given work has been done. */
    double remainingNanos(double doneNanos) {
        if (ofService == null) {
            return INITIAL_MEAN_NANOS;
        }
        double ofServiceNanos = ofService.remainingNanos(doneNanos);
        return trust == 0 || ofKey == ofService ? ofServiceNanos : mix(ofKey.remainingNanos(doneNanos), ofServiceNanos);
    }

    WorkKey key() {
        return key;
    }

    /** Returns whether the key had a distribution of its own when the estimate was made. */
    boolean isOfKey() {
        return ofKey != ofService;
    }

    double logMean() {
        return mix(keyLogMean, serviceLogMean);
    }

    double keyLogMean() {
        return keyLogMean;
    }

    double serviceLogMean() {
        return serviceLogMean;
    }

    double logDeviation() {
        return logDeviation;
    }

    private double mix(double ofKeyValue, double ofServiceValue) {
        return trust * ofKeyValue + (1 - trust) * ofServiceValue;
    }
}
