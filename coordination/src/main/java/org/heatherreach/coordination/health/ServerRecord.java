package org.heatherreach.coordination.health;

import java.util.Arrays;

import org.heatherreach.state.id.ServerId;

/**
 * The pooled evidence on one server. Scope 0 is every zone, scope z + 1 is the zone with index z. Scores are cumulative
 * sums (CUSUM) of log likelihood ratios that never fall below zero. Confined to one duty thread.
 */
final class ServerRecord {
    /** The recent counts are multiplied by this in each tick with reports, which halves them after two such ticks. */
    static final double RECENT_DECAY = 0.7;

    /**
     * Limits what one tick adds to the latency score, so that at least three ticks must agree. A pause of a healthy
     * server that delays all its requests at once affects only one or two ticks.
     */
    private static final double MAX_LATENCY_INCREMENT = OutlierDetector.SCORE_LIMIT / 3;

    /** Limits what one tick adds to the failure score, so that connections that broke together do not decide alone. */
    private static final double MAX_FAILURE_INCREMENT = OutlierDetector.SCORE_LIMIT / 2;

    private final ServerId server;
    /** A small number that is unique among the servers of the part; numbers of removed servers are reused. */
    private final int index;

    private final double[] recentLatencyCounts = new double[LatencyBuckets.COUNT];
    private double recentRequests;
    private double recentFailures;
    private double meanLatencyBucket;
    private double[] recentRequestsByScope = new double[1];
    private double[] failureScores = new double[1];
    private double[] latencyScores = new double[1];
    private double[] failureSums = new double[1];
    private double[] latencySums = new double[1];
    private double[] failureIncrements = new double[1];
    private double[] latencyIncrements = new double[1];
    private Ejection[] ejections = {new Ejection()};
    private boolean inGracePeriod;
    private long graceDeadlineNanos;
    private boolean evidenceSuppressed;
    private long suppressionDeadlineNanos;
    private boolean lastProbeFailed;
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

    void ensureScopeCount(int scopeCount) {
        int oldScopeCount = ejections.length;
        if (oldScopeCount < scopeCount) {
            recentRequestsByScope = Arrays.copyOf(recentRequestsByScope, scopeCount);
            failureScores = Arrays.copyOf(failureScores, scopeCount);
            latencyScores = Arrays.copyOf(latencyScores, scopeCount);
            failureSums = Arrays.copyOf(failureSums, scopeCount);
            latencySums = Arrays.copyOf(latencySums, scopeCount);
            failureIncrements = Arrays.copyOf(failureIncrements, scopeCount);
            latencyIncrements = Arrays.copyOf(latencyIncrements, scopeCount);
            ejections = Arrays.copyOf(ejections, scopeCount);
            for (int i = oldScopeCount; i < scopeCount; i++) {
                ejections[i] = new Ejection();
            }
        }
    }

    void startGracePeriod(long deadlineNanos) {
        inGracePeriod = true;
        graceDeadlineNanos = deadlineNanos;
    }

    boolean isInGracePeriod(long nowNanos) {
        inGracePeriod = inGracePeriod && nowNanos - graceDeadlineNanos < 0;
        return inGracePeriod;
    }

    void suppressEvidenceUntil(long deadlineNanos) {
        evidenceSuppressed = true;
        suppressionDeadlineNanos = deadlineNanos;
        resetScores();
    }

    boolean isEvidenceSuppressed(long nowNanos) {
        evidenceSuppressed = evidenceSuppressed && nowNanos - suppressionDeadlineNanos < 0;
        return evidenceSuppressed;
    }

    void recordProbe(boolean successful, long deadlineNanos) {
        lastProbeFailed = !successful;
        probeDeadlineNanos = deadlineNanos;
    }

    boolean isProbeFailing(long nowNanos) {
        return lastProbeFailed && nowNanos - probeDeadlineNanos < 0;
    }

    void decayRecentCounts() {
        for (int i = 0; i < recentLatencyCounts.length; i++) {
            recentLatencyCounts[i] *= RECENT_DECAY;
        }
        for (int i = 0; i < recentRequestsByScope.length; i++) {
            recentRequestsByScope[i] *= RECENT_DECAY;
        }
        recentRequests *= RECENT_DECAY;
        recentFailures *= RECENT_DECAY;
    }

    void addRecentCounts(int zoneScope, ServerEvidence evidence) {
        for (int i = 0; i < recentLatencyCounts.length; i++) {
            recentLatencyCounts[i] += evidence.latencyCount(i);
        }
        recentRequests += evidence.requests();
        recentFailures += Math.min(evidence.requests(), evidence.failures());
        recentRequestsByScope[0] += evidence.requests();
        recentRequestsByScope[zoneScope] += evidence.requests();
    }

    double recentLatencyTotal() {
        double total = 0;
        for (double count : recentLatencyCounts) {
            total += count;
        }
        return total;
    }

    double addRecentLatencyTo(double[] target, double factor) {
        double total = 0;
        for (int i = 0; i < target.length; i++) {
            target[i] += factor * recentLatencyCounts[i];
            total += recentLatencyCounts[i];
        }
        return total;
    }

    void updateMeanLatencyBucket() {
        double total = 0;
        double sum = 0;
        for (int i = 0; i < recentLatencyCounts.length; i++) {
            total += recentLatencyCounts[i];
            sum += i * recentLatencyCounts[i];
        }
        meanLatencyBucket = total == 0 ? 0 : sum / total;
    }

    double meanLatencyBucket() {
        return meanLatencyBucket;
    }

    double recentRequests() {
        return recentRequests;
    }

    double recentRequests(int scope) {
        return recentRequestsByScope[scope];
    }

    double recentFailures() {
        return recentFailures;
    }

    double recentFailureRatio() {
        return recentRequests == 0 ? 0 : recentFailures / recentRequests;
    }

    void addIncrements(int zoneScope, double failureIncrement, double latencyIncrement) {
        failureIncrements[0] += failureIncrement;
        latencyIncrements[0] += latencyIncrement;
        failureIncrements[zoneScope] += failureIncrement;
        latencyIncrements[zoneScope] += latencyIncrement;
    }

    void applyIncrements() {
        for (int i = 0; i < failureSums.length; i++) {
            failureSums[i] += Math.min(MAX_FAILURE_INCREMENT, failureIncrements[i]);
            latencySums[i] += Math.min(MAX_LATENCY_INCREMENT, latencyIncrements[i]);
        }
        for (int i = 0; i < failureScores.length; i++) {
            failureScores[i] = addClamped(failureScores[i], Math.min(MAX_FAILURE_INCREMENT, failureIncrements[i]));
            latencyScores[i] = addClamped(latencyScores[i], Math.min(MAX_LATENCY_INCREMENT, latencyIncrements[i]));
            failureIncrements[i] = 0;
            latencyIncrements[i] = 0;
        }
        if (score(0) == 0) {
            clearSums();
        }
    }

    private static double addClamped(double score, double increment) {
        return Math.max(0, Math.min(2 * OutlierDetector.SCORE_LIMIT, score + increment));
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

    boolean isFailureDominated(int scope) {
        return failureScores[scope] >= latencyScores[scope];
    }

    int scopeCount() {
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
