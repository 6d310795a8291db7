package org.heatherreach.coordination.health;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

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

    /** From this score on the evidence is set aside. Two failures of other servers than the worst are just below it. */
    private static final double SUSPICIOUS_SCORE = 8;

    private static final double MAX_SCORE = 2 * HealthJudge.SCORE_LIMIT;
    /** What one report adds at most, for the reason given at the step limit of a server. */
    private static final double MAX_STEP = HealthJudge.SCORE_LIMIT / 2;

    private int zone;
    private double score;
    private double seen;
    private double seenFailing;
    private double seenSinceRise;
    private double failingSinceRise;
    /** The evidence since the score was last zero by the index of its server. */
    private final Map<Integer, Double> stepSums = new HashMap<>();

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

    void noteServer(int serverIndex, double step, boolean isFailing) {
        stepSums.merge(serverIndex, step, Double::sum);
        seen++;
        seenSinceRise++;
        if (isFailing) {
            seenFailing++;
            failingSinceRise++;
            failing.set(serverIndex);
        }
    }

    void endReport(double step) {
        score = Math.max(0, Math.min(MAX_SCORE, score + Math.min(MAX_STEP, step)));
        if (score == 0) {
            seenSinceRise = 0;
            failingSinceRise = 0;
            stepSums.clear();
        }
    }

    int zone() {
        return zone;
    }

    double failingRatio() {
        return seen == 0 ? 0 : seenFailing / seen;
    }

    /**
     * Returns the failing ratio since the score was last zero. Entries from before a fault of the daemon would hide it,
     * and over a fixed number of entries the ratio of a constant fault varies too much.
     */
    double failingRatioSinceRise() {
        return seenSinceRise == 0 ? 0 : failingSinceRise / seenSinceRise;
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

    /** Leaves out the worst server, whose fault is not the observer's. */
    boolean isSuspicious() {
        double worst = 0;
        double total = 0;
        for (double sum : stepSums.values()) {
            total += sum;
            worst = Math.max(worst, sum);
        }
        return Math.min(score, total - worst) > SUSPICIOUS_SCORE;
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
