package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;

/**
 * Decides whose evidence counts. An observer is a daemon that sends reports; one that is faulty itself observes failures
 * of sound servers.
 *
 * <p>Invariants: the evidence of an observer is ignored while it contradicts the evidence of the other observers about
 * several servers; no observer is ignored while fewer than three have enough entries; each change is reported once.
 * Confined to one duty thread.
 */
final class ObserverTrust {
    private static final long OBSERVER_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * An observer contradicts its peers if its ratio of failing entries exceeds this value and three times the median
     * ratio of its peers. The value is below the failure ratio of 30 % that has to be detected.
     */
    private static final double MIN_CONTRADICTING_ENTRY_RATIO = 0.2;

    private static final double CONTRADICTING_RATIO_FACTOR = 3;

    /** Above this log likelihood ratio, the evidence of one observer on one server counts as failing. */
    private static final double FAILING_LOG_RATIO = 1.5;

    private final Map<ServerId, ServerRecord> records;
    private final ZoneScopes scopes;
    private final LikelihoodModel likelihoodModel;
    private final Map<IncarnationId, ObserverRecord> observers = new HashMap<>();

    /**
     * Creates an instance that knows no observers.
     *
     * @param records a view of the servers of the part
     * @param scopes the scopes of the zones of all reports
     * @param likelihoodModel weighs the evidence
     */
    ObserverTrust(Map<ServerId, ServerRecord> records, ZoneScopes scopes, LikelihoodModel likelihoodModel) {
        this.records = Objects.requireNonNull(records, "records");
        this.scopes = Objects.requireNonNull(scopes, "scopes");
        this.likelihoodModel = Objects.requireNonNull(likelihoodModel, "likelihoodModel");
    }

    /** Adds the evidence of the reports to the scores of their observers. */
    void score(Map<IncarnationId, List<HealthReport>> reportsByObserver, long nowNanos) {
        reportsByObserver.forEach((observer, reports) -> {
            ObserverRecord record = observers.computeIfAbsent(observer, key -> new ObserverRecord());
            reports.forEach(report -> scoreObserver(record, report, nowNanos));
        });
    }

    /**
     * Returns the reports of the observers that don't contradict their peers. All reports must have been scored.
     *
     * @param actions receives the observers that are outliers from now on, or no longer
     */
    List<HealthReport> selectTrusted(
            Map<IncarnationId, List<HealthReport>> reportsByObserver, List<HealthAction> actions) {
        Map<Integer, double[]> ratiosByZone = failingEntryRatiosByZone();
        double[] allRatios = ratiosByZone.values().stream()
                .flatMapToDouble(Arrays::stream)
                .sorted()
                .toArray();
        List<HealthReport> trusted = new ArrayList<>();
        reportsByObserver.forEach((observer, reports) -> {
            ObserverRecord record = observers.get(observer);
            boolean contradicts = contradictsPeers(record, ratiosByZone.get(record.zoneScope()), allRatios);
            boolean outlier = contradicts && (record.isOutlier() || record.exceedsScoreLimit());
            if (outlier != record.isOutlier()) {
                record.setOutlier(outlier);
                actions.add(new HealthAction.ChangeObserver(observer, outlier));
            }
            if (!contradicts) {
                trusted.addAll(reports);
            }
        });
        return trusted;
    }

    /** Returns the observers that are outliers. */
    Set<IncarnationId> outliers() {
        Set<IncarnationId> outliers = new HashSet<>();
        observers.forEach((observer, record) -> {
            if (record.isOutlier()) {
                outliers.add(observer);
            }
        });
        return outliers;
    }

    /** Forgets the observers that have sent no report for some time. */
    void removeExpired(long nowNanos) {
        observers.values().removeIf(record -> nowNanos - record.lastReportNanos() > OBSERVER_EXPIRY_NANOS);
    }

    private void scoreObserver(ObserverRecord observerRecord, HealthReport report, long nowNanos) {
        observerRecord.beginReport(scopes.of(report.zone()), report.evidence().size(), nowNanos);
        double sum = 0;
        for (ServerEvidence evidence : report.evidence()) {
            ServerRecord serverRecord = records.get(evidence.server());
            if (serverRecord == null || serverRecord.isRestricted() || serverRecord.isInGracePeriod(nowNanos)) {
                continue;
            }
            // Fast responses must not offset failures; otherwise a daemon that loses half of its responses looks
            // healthy.
            double logRatio =
                    likelihoodModel.failureLogRatio(evidence) + Math.max(0, likelihoodModel.latencyLogRatio(evidence));
            sum += logRatio;
            observerRecord.addEntry(serverRecord.index(), logRatio, logRatio > FAILING_LOG_RATIO);
        }
        observerRecord.endReport(sum);
    }

    /** Returns the sorted failing entry ratios of the observers by the scope of their zone. */
    private Map<Integer, double[]> failingEntryRatiosByZone() {
        Map<Integer, List<Double>> collected = new HashMap<>();
        for (ObserverRecord observerRecord : observers.values()) {
            if (observerRecord.hasEnoughEntries()) {
                collected
                        .computeIfAbsent(observerRecord.zoneScope(), key -> new ArrayList<>())
                        .add(observerRecord.failingEntryRatio());
            }
        }
        Map<Integer, double[]> sorted = new HashMap<>();
        collected.forEach((zone, ratios) -> sorted.put(
                zone, ratios.stream().mapToDouble(Double::doubleValue).sorted().toArray()));
        return sorted;
    }

    /**
     * Returns whether the failing entry ratio of an observer is far higher than that of its peers. The peers are the
     * observers of the same zone if there are at least three, because a zone as a whole may be cut off; otherwise they
     * are all observers.
     */
    private boolean contradictsPeers(ObserverRecord observerRecord, double[] zoneRatios, double[] allRatios) {
        if (!observerRecord.isSuspicious() || !observerRecord.hasEnoughEntries()) {
            return false;
        }
        // An observer that already is an outlier skips this check, so that after a run of successes it is not trusted
        // before its score has fallen.
        if (!observerRecord.isOutlier() && !observerRecord.seesManyServersFailing(records.size())) {
            return false;
        }
        double[] ratios = zoneRatios != null && zoneRatios.length >= 3 ? zoneRatios : allRatios;
        if (ratios.length < 3) {
            return false;
        }
        double median = ratios[(ratios.length - 1) / 2];
        return observerRecord.failingEntryRatioSinceZeroScore()
                > Math.max(MIN_CONTRADICTING_ENTRY_RATIO, CONTRADICTING_RATIO_FACTOR * median);
    }
}
