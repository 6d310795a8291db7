package org.heatherreach.coordination.health;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Compares the evidence of one daemon, the observer, with what is usual, over all servers that the daemon uses, to find
 * daemons that are faulty themselves. A report has one entry per server. An entry is failing if it indicates a faulty
 * server. Confined to one duty thread.
 */
final class ObserverRecord {
    /** The failing entry ratio covers about this many entries, so that it does not depend on the request rate. */
    private static final double RATIO_WINDOW_ENTRIES = 20;
    /** Failing servers are remembered for one to two periods of this many reports; a period takes 3 s. */
    private static final int PERIOD_REPORTS = 12;
    /**
     * The number of failing servers from which a daemon may be faulty itself; one server that fails repeatedly is not
     * enough.
     */
    private static final int MIN_FAILING_SERVERS = 3;

    /**
     * Above this score the evidence may be ignored. Two failures of servers other than the worst one stay just below
     * it.
     */
    private static final double SUSPICIOUS_SCORE = 8;

    private static final double MAX_SCORE = 2 * OutlierDetector.SCORE_LIMIT;
    /** Limits what one report adds to the score, so that connections that broke together do not decide alone. */
    private static final double MAX_INCREMENT = OutlierDetector.SCORE_LIMIT / 2;

    private int zoneScope;
    private double score;
    private double entryCount;
    private double failingEntryCount;
    private double entryCountSinceZero;
    private double failingEntryCountSinceZero;
    /** The sum of the log likelihood ratios since the score was last zero, by the index of the server. */
    private final Map<Integer, Double> logRatioSumsByServer = new HashMap<>();

    private BitSet failingServers = new BitSet();
    private BitSet previousFailingServers = new BitSet();
    private int reportCount;
    private boolean outlier;
    private long lastReportNanos;

    void beginReport(int newZoneScope, int reportEntryCount, long nowNanos) {
        zoneScope = newZoneScope;
        lastReportNanos = nowNanos;
        double decay = Math.max(0, 1 - reportEntryCount / RATIO_WINDOW_ENTRIES);
        entryCount *= decay;
        failingEntryCount *= decay;
        if (++reportCount % PERIOD_REPORTS == 0) {
            BitSet oldest = previousFailingServers;
            previousFailingServers = failingServers;
            oldest.clear();
            failingServers = oldest;
        }
    }

    void addEntry(int serverIndex, double logRatio, boolean failing) {
        logRatioSumsByServer.merge(serverIndex, logRatio, Double::sum);
        entryCount++;
        entryCountSinceZero++;
        if (failing) {
            failingEntryCount++;
            failingEntryCountSinceZero++;
            failingServers.set(serverIndex);
        }
    }

    void endReport(double increment) {
        score = Math.max(0, Math.min(MAX_SCORE, score + Math.min(MAX_INCREMENT, increment)));
        if (score == 0) {
            entryCountSinceZero = 0;
            failingEntryCountSinceZero = 0;
            logRatioSumsByServer.clear();
        }
    }

    int zoneScope() {
        return zoneScope;
    }

    double failingEntryRatio() {
        return entryCount == 0 ? 0 : failingEntryCount / entryCount;
    }

    /**
     * Returns the failing entry ratio since the score was last zero. Entries from before a fault of the daemon would
     * hide the fault, and over a fixed number of entries the ratio varies too much under a constant fault.
     */
    double failingEntryRatioSinceZeroScore() {
        return entryCountSinceZero == 0 ? 0 : failingEntryCountSinceZero / entryCountSinceZero;
    }

    /** Returns whether the daemon has observed so many failing servers that the cause may be the daemon itself. */
    boolean seesManyServersFailing(int serverCount) {
        BitSet all = (BitSet) failingServers.clone();
        all.or(previousFailingServers);
        return all.cardinality() >= Math.min(MIN_FAILING_SERVERS, Math.max(2, serverCount));
    }

    boolean hasEnoughEntries() {
        return entryCount >= MIN_FAILING_SERVERS;
    }

    /** Returns whether the score is suspicious even without the worst server, which may have a fault of its own. */
    boolean isSuspicious() {
        double worst = 0;
        double total = 0;
        for (double sum : logRatioSumsByServer.values()) {
            total += sum;
            worst = Math.max(worst, sum);
        }
        return Math.min(score, total - worst) > SUSPICIOUS_SCORE;
    }

    boolean exceedsScoreLimit() {
        return score > OutlierDetector.SCORE_LIMIT;
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
