package org.heatherreach.coordination.work;

/**
 * Compares the errors of estimates by key with those of the estimate for the whole service, and derives from this how
 * far the keys can be trusted. Errors are absolute differences of logarithms, so that a rare long request weighs little.
 *
 * <p>Confined to one duty thread.
 */
final class EstimateErrors {
    private static final double SMOOTHING = 0.04;
    /** A reduction of the error by less than this share may be chance. */
    private static final double MIN_GAIN = 0.03;
    /** A reduction of the error by this share or more gives full trust. */
    private static final double FULL_GAIN = 0.13;

    private double keyError;
    private double serviceError;

    /** Records a request that completed. */
    void record(WorkEstimate estimate, double workLog) {
        double ofKey = Math.abs(workLog - estimate.keyLogMean());
        double ofService = Math.abs(workLog - estimate.serviceLogMean());
        if (serviceError == 0) {
            keyError = ofService;
            serviceError = ofService;
        }
        keyError += SMOOTHING * (ofKey - keyError);
        serviceError += SMOOTHING * (ofService - serviceError);
    }

    /** Returns the mean error of the estimates by key. */
    double keyError() {
        return keyError;
    }

    /** Returns the weight that the estimates by key deserve, from 0 to 1. */
    double trust() {
        if (serviceError == 0) {
            return 0;
        }
        double gain = 1 - keyError / serviceError;
        return Math.max(0, Math.min(1, (gain - MIN_GAIN) / (FULL_GAIN - MIN_GAIN)));
    }
}
