package org.heatherreach.coordination.health;

import java.util.BitSet;

/**
 * How the evidence of one daemon compares with what is usual, over all servers that it uses.
 * Confined to one duty thread.
 */
final class ObserverRecord {
    /** The ratio covers about this many entries of reports, so that it does not depend on the rate of requests. */
    private static final double MEMORY_ENTRIES = 20;
    /** Failing servers are remembered for one to two periods of this many reports, which are 3 s. */
    private static final int PERIOD_REPORTS = 12;
    /** A daemon that meets one failing server repeatedly is not faulty; it takes this many servers. */
    private static final int MIN_FAILING_SERVERS = 3;

    /** From this score on the evidence is set aside; a faulty observer passes it in its first one or two reports. */
    private static final double SUSPICIOUS_SCORE = 6;

    private static final double MAX_SCORE = 2 * HealthJudge.SCORE_LIMIT;
    /** What one report adds at most, for the reason given at the step limit of a server. */
    private static final double MAX_STEP = HealthJudge.SCORE_LIMIT / 2;

    private int zone;
    private double score;
    private double seen;
    private double seenFailing;
    private BitSet failing = new BitSet();
    private BitSet failingBefore = new BitSet();
    private int reports;
    private boolean outlier;
    private long lastReportNanos;

    void beginReport(int newZone, int servers, long nowNanos) {
        zone = newZone;
        lastReportNanos = nowNanos;
        double kept = Math.max(0, 1 - servers / MEMORY_ENTRIES);
        seen *= kept;
        seenFailing *= kept;
        if (++reports % PERIOD_REPORTS == 0) {
            BitSet oldest = failingBefore;
            failingBefore = failing;
            oldest.clear();
            failing = oldest;
        }
    }

    void noteServer(int serverIndex, boolean isFailing) {
        seen++;
        if (isFailing) {
            seenFailing++;
            failing.set(serverIndex);
        }
    }

    void endReport(double step) {
        score = Math.max(0, Math.min(MAX_SCORE, score + Math.min(MAX_STEP, step)));
    }

    int zone() {
        return zone;
    }

    double failingRatio() {
        return seen == 0 ? 0 : seenFailing / seen;
    }

    /** Returns whether the daemon has seen so many servers fail that the cause may be its own. */
    boolean seesManyFailing(int servers) {
        BitSet all = (BitSet) failing.clone();
        all.or(failingBefore);
        return all.cardinality() >= Math.min(MIN_FAILING_SERVERS, Math.max(2, servers));
    }

    boolean hasSeenSeveral() {
        return seen >= MIN_FAILING_SERVERS;
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
