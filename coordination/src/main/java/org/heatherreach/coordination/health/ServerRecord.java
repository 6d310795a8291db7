package org.heatherreach.coordination.health;

import java.util.Arrays;

import org.heatherreach.state.id.ServerId;

/**
 * The pooled evidence of one server. Scope 0 is every zone, scope z + 1 is the zone with index z.
 * Scores are cumulative sums of log likelihood ratios that never fall below zero. Confined to one duty thread.
 */
final class ServerRecord {
    /** The weight of older windows in the recent counts: half of it is gone after two windows. */
    static final double RECENT_DECAY = 0.7;

    /**
     * Limits what one tick adds to the latency score, so that at least three ticks must agree. A pause of a healthy
     * server that delays all its requests at once stays within one or two ticks.
     */
    private static final double MAX_LATENCY_STEP = HealthJudge.SCORE_LIMIT / 3;

    /** Limits what one tick adds to the failure score, so that connections that broke together do not decide. */
    private static final double MAX_FAILURE_STEP = HealthJudge.SCORE_LIMIT / 2;

    private final ServerId server;
    /** A small number that no other server of the part has. */
    private final int index;

    private final double[] recentLatency = new double[LatencyBuckets.COUNT];
    private double recentRequests;
    private double recentFailures;
    private double meanBucket;
    private double[] recentByScope = new double[1];
    private double[] failureScores = new double[1];
    private double[] latencyScores = new double[1];
    private double[] failureSums = new double[1];
    private double[] latencySums = new double[1];
    private double[] failureSteps = new double[1];
    private double[] latencySteps = new double[1];
    private Ejection[] ejections = {new Ejection()};
    private boolean hasGrace;
    private long graceDeadlineNanos;
    private boolean excused;
    private long excusedDeadlineNanos;
    private boolean probeFails;
    private long probeDeadlineNanos;

    ServerRecord(ServerId server, int index) {
        this.index = index;
        this.server = server;
    }

    ServerId server() {
        return server;
    }

    int index() {
        return index;
    }

    void growTo(int scopes) {
        int before = ejections.length;
        if (before < scopes) {
            recentByScope = Arrays.copyOf(recentByScope, scopes);
            failureScores = Arrays.copyOf(failureScores, scopes);
            latencyScores = Arrays.copyOf(latencyScores, scopes);
            failureSums = Arrays.copyOf(failureSums, scopes);
            latencySums = Arrays.copyOf(latencySums, scopes);
            failureSteps = Arrays.copyOf(failureSteps, scopes);
            latencySteps = Arrays.copyOf(latencySteps, scopes);
            ejections = Arrays.copyOf(ejections, scopes);
            for (int i = before; i < scopes; i++) {
                ejections[i] = new Ejection();
            }
        }
    }

    void grantGrace(long deadlineNanos) {
        hasGrace = true;
        graceDeadlineNanos = deadlineNanos;
    }

    boolean hasGrace(long nowNanos) {
        hasGrace = hasGrace && nowNanos - graceDeadlineNanos < 0;
        return hasGrace;
    }

    void excuseUntil(long deadlineNanos) {
        excused = true;
        excusedDeadlineNanos = deadlineNanos;
        resetScores();
    }

    boolean isExcused(long nowNanos) {
        excused = excused && nowNanos - excusedDeadlineNanos < 0;
        return excused;
    }

    void noteProbe(boolean successful, long deadlineNanos) {
        probeFails = !successful;
        probeDeadlineNanos = deadlineNanos;
    }

    boolean probeFails(long nowNanos) {
        return probeFails && nowNanos - probeDeadlineNanos < 0;
    }

    void decayRecent() {
        for (int i = 0; i < recentLatency.length; i++) {
            recentLatency[i] *= RECENT_DECAY;
        }
        for (int i = 0; i < recentByScope.length; i++) {
            recentByScope[i] *= RECENT_DECAY;
        }
        recentRequests *= RECENT_DECAY;
        recentFailures *= RECENT_DECAY;
    }

    void addRecent(int zoneScope, ServerEvidence evidence) {
        for (int i = 0; i < recentLatency.length; i++) {
            recentLatency[i] += evidence.latencyCount(i);
        }
        recentRequests += evidence.requests();
        recentFailures += Math.min(evidence.requests(), evidence.failures());
        recentByScope[0] += evidence.requests();
        recentByScope[zoneScope] += evidence.requests();
    }

    double recentLatencyMass() {
        double mass = 0;
        for (double count : recentLatency) {
            mass += count;
        }
        return mass;
    }

    double addRecentLatency(double[] target, double factor) {
        double mass = 0;
        for (int i = 0; i < target.length; i++) {
            target[i] += factor * recentLatency[i];
            mass += recentLatency[i];
        }
        return mass;
    }

    void updateMeanBucket() {
        double mass = 0;
        double sum = 0;
        for (int i = 0; i < recentLatency.length; i++) {
            mass += recentLatency[i];
            sum += i * recentLatency[i];
        }
        meanBucket = mass == 0 ? 0 : sum / mass;
    }

    double meanBucket() {
        return meanBucket;
    }

    double recentRequests() {
        return recentRequests;
    }

    double recentRequests(int scope) {
        return recentByScope[scope];
    }

    double recentFailures() {
        return recentFailures;
    }

    double recentFailureRatio() {
        return recentRequests == 0 ? 0 : recentFailures / recentRequests;
    }

    void addSteps(int zoneScope, double failureStep, double latencyStep) {
        failureSteps[0] += failureStep;
        latencySteps[0] += latencyStep;
        failureSteps[zoneScope] += failureStep;
        latencySteps[zoneScope] += latencyStep;
    }

    void applySteps() {
        for (int i = 0; i < failureSums.length; i++) {
            failureSums[i] += Math.min(MAX_FAILURE_STEP, failureSteps[i]);
            latencySums[i] += Math.min(MAX_LATENCY_STEP, latencySteps[i]);
        }
        for (int i = 0; i < failureScores.length; i++) {
            failureScores[i] = advance(failureScores[i], Math.min(MAX_FAILURE_STEP, failureSteps[i]));
            latencyScores[i] = advance(latencyScores[i], Math.min(MAX_LATENCY_STEP, latencySteps[i]));
            failureSteps[i] = 0;
            latencySteps[i] = 0;
        }
        if (score(0) == 0) {
            clearSums();
        }
    }

    private static double advance(double score, double step) {
        return Math.max(0, Math.min(2 * HealthJudge.SCORE_LIMIT, score + step));
    }

    void resetScores() {
        Arrays.fill(failureScores, 0);
        Arrays.fill(latencyScores, 0);
        clearSums();
    }

    void resetScores(int scope) {
        failureScores[scope] = 0;
        latencyScores[scope] = 0;
        if (scope == 0) {
            clearSums();
        }
    }

    /** Returns the sum of the failure evidence of a scope since the pooled score was last zero. */
    double failureSum(int scope) {
        return failureSums[scope];
    }

    /** Returns the sum of the latency evidence of a scope since the pooled score was last zero. */
    double latencySum(int scope) {
        return latencySums[scope];
    }

    private void clearSums() {
        Arrays.fill(failureSums, 0);
        Arrays.fill(latencySums, 0);
    }

    double score(int scope) {
        return failureScores[scope] + latencyScores[scope];
    }

    double failureScore(int scope) {
        return failureScores[scope];
    }

    boolean isMostlyFailing(int scope) {
        return failureScores[scope] >= latencyScores[scope];
    }

    int scopes() {
        return ejections.length;
    }

    Ejection ejection(int scope) {
        return ejections[scope];
    }

    boolean isRestricted() {
        for (Ejection ejection : ejections) {
            if (ejection.isRestricting()) {
                return true;
            }
        }
        return false;
    }
}
