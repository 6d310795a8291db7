package org.heatherreach.coordination.health;

/**
 * How the evidence of one daemon compares with what is usual, over all servers that it uses.
 * Confined to one duty thread.
 */
final class ObserverRecord {
    private static final double RECENT_DECAY = 0.8;
    /** From this score on the evidence is set aside; a faulty observer passes it in its first one or two reports. */
    private static final double SUSPICIOUS_SCORE = 6;

    private static final double MAX_SCORE = 2 * HealthJudge.SCORE_LIMIT;
    /** What one report adds at most, for the reason given at the step limit of a server. */
    private static final double MAX_STEP = HealthJudge.SCORE_LIMIT / 2;

    private int zone;
    private double score;
    private double seen;
    private double seenFailing;
    private boolean outlier;
    private long lastReportNanos;

    void note(int newZone, int servers, int serversFailing, double step, long nowNanos) {
        zone = newZone;
        seen = seen * RECENT_DECAY + servers;
        seenFailing = seenFailing * RECENT_DECAY + serversFailing;
        score = Math.max(0, Math.min(MAX_SCORE, score + Math.min(MAX_STEP, step)));
        lastReportNanos = nowNanos;
    }

    int zone() {
        return zone;
    }

    double failingRatio() {
        return seen == 0 ? 0 : seenFailing / seen;
    }

    boolean hasSeenSeveral() {
        return seen >= 3;
    }

    boolean isSuspicious() {
        return score > SUSPICIOUS_SCORE;
    }

    boolean isConvincing() {
        return score > HealthJudge.SCORE_LIMIT;
    }

    boolean isOutlier() {
        return outlier;
    }

    void setOutlier(boolean newOutlier) {
        outlier = newOutlier;
    }

    long lastReportNanos() {
        return lastReportNanos;
    }
}
