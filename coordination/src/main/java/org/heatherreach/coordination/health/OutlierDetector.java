package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

/**
 * Detects outliers among the servers of one service part from the pooled evidence of all daemons.
 *
 * <p>Each tick compares the new evidence on every server with its peers and adds the log likelihood ratio to scores per
 * server and scope. A server whose score exceeds the median score of its peers by a limit is ejected. Therefore no
 * single sample decides, and a service that gets slow as a whole has no outlier.
 *
 * <p>Invariants: the evidence of an observer, which is a daemon that sends reports, is ignored while it contradicts the
 * evidence of the other observers about several servers; a server with a fault that other zones do not observe is
 * ejected only for the zones that observe it; the latency of a new server is ignored during its cold start. The floor
 * is not applied here but by each daemon. Confined to one duty thread.
 */
public final class OutlierDetector {
    /** The latency of a server that is listed later than the first servers of the part is ignored for this long. */
    public static final long COLD_START_GRACE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /**
     * The largest limit for the score at which a server is ejected. By Wald's bound, a sequential test with limit h has
     * at most one false alarm in exp(h) observations.
     */
    static final double SCORE_LIMIT = 18;

    /**
     * The smallest limit for the score. It exceeds what one exchange that stays silent can add, which is one latency
     * and two stalls at the largest weights.
     */
    private static final double MIN_SCORE_LIMIT = 14;

    /**
     * The limit is the logarithm of the number of requests in this many hours. By Wald's bound, there is at most one
     * false alarm in that time.
     */
    private static final double HOURS_PER_FALSE_ALARM = 20;

    /** Lowers the limit during readmission: the fault is already known, so less evidence suffices. */
    private static final double READMISSION_LIMIT_FACTOR = 0.5;

    private static final double TICKS_PER_HOUR = (double) TimeUnit.HOURS.toNanos(1) / EvidenceWindow.INTERVAL_NANOS;
    private static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CRASH_SUPPRESSION_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long PROBE_VALID_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long OBSERVER_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** A server with fewer recent requests counts as idle, and its probes add to its score. */
    private static final double MAX_IDLE_REQUESTS = 0.1;
    /**
     * A failing server counts as healthy in other zones if their evidence since the pooled score began to rise sums up
     * to this value or less, which takes about five successes.
     */
    private static final double HEALTHY_SUM = -1;

    /**
     * Replaces {@link #HEALTHY_SUM} if two or more zones observe the fault, because the server is then the likelier
     * cause. It takes about twelve successes.
     */
    private static final double CLEARLY_HEALTHY_SUM = -2.5;
    /**
     * Above this sum a zone counts as observing the fault. One failure reaches it, unless about ten successes outweigh
     * the failure.
     */
    private static final double FAILING_ZONE_SUM = 1;
    /**
     * Multiplies the healthy sums for latency: a normal latency weighs up to ten times as much as a success, and a slow
     * server also has some normal latencies.
     */
    private static final double LATENCY_HEALTHY_FACTOR = 16;

    /**
     * An observer contradicts its peers if its ratio of failing entries exceeds this value and three times the median
     * ratio of its peers. The value is below the failure ratio of 30 % that has to be detected.
     */
    private static final double MIN_CONTRADICTING_ENTRY_RATIO = 0.2;

    private static final double CONTRADICTING_RATIO_FACTOR = 3;
    /**
     * The number of reports of one observer that may wait for a tick. More than one arrives in a tick only if reports
     * were delayed on the network.
     */
    private static final int MAX_PENDING_REPORTS = 8;

    /** Above this log likelihood ratio, the evidence of one observer on one server counts as failing. */
    private static final double FAILING_LOG_RATIO = 1.5;

    private final ServiceId service;
    private final int part;
    private final Map<ServerId, ServerRecord> records = new TreeMap<>();
    private final Map<IncarnationId, ObserverRecord> observers = new HashMap<>();
    private final Map<IncarnationId, List<HealthReport>> pendingReports = new LinkedHashMap<>();
    private final Map<ZoneId, Integer> zoneIndexes = new HashMap<>();
    private final List<ZoneId> zones = new ArrayList<>();
    private final LikelihoodModel likelihoodModel = new LikelihoodModel();
    private boolean hasServerList;
    /** False until the first send and after an ejection was revoked, so that the next tick sends the verdicts. */
    private boolean hasSent;

    private long lastSentNanos;
    private long unlistedEvidenceCount;
    private long droppedReportCount;

    /** Creates a detector that knows no servers. */
    public OutlierDetector(ServiceId service, int part) {
        this.service = Objects.requireNonNull(service, "service");
        this.part = part;
    }

    /**
     * Replaces the servers of the part. Servers of the first list count as warm; servers added later get a grace
     * period.
     */
    public void updateServers(Collection<ServerId> listed, long nowNanos) {
        Set<ServerId> listedServers = new HashSet<>(listed);
        records.keySet().retainAll(listedServers);
        for (ServerId server : listedServers) {
            if (!records.containsKey(server)) {
                ServerRecord newRecord = new ServerRecord(server, freeIndex());
                newRecord.ensureScopeCount(zones.size() + 1);
                if (hasServerList) {
                    newRecord.startGracePeriod(nowNanos + COLD_START_GRACE_NANOS);
                }
                records.put(server, newRecord);
            }
        }
        hasServerList = true;
    }

    /**
     * Adds a report, which is scored at the next tick. If one observer sends more than a few reports before that tick,
     * the further ones are dropped and counted, so that an observer can't exhaust the memory of the owner.
     *
     * @throws IllegalArgumentException if the report is for another service part
     */
    public void addReport(IncarnationId observer, HealthReport report, long nowNanos) {
        Objects.requireNonNull(observer, "observer");
        if (!report.service().equals(service) || report.part() != part) {
            throw new IllegalArgumentException(
                    "report is for another service part: " + report.service() + "/" + report.part());
        }
        scopeOf(report.zone());
        List<HealthReport> reports = pendingReports.computeIfAbsent(observer, key -> new ArrayList<>(2));
        if (reports.size() < MAX_PENDING_REPORTS) {
            reports.add(report);
        } else {
            droppedReportCount++;
        }
    }

    /** Adds the result of a probe. It is scored only for servers without traffic. */
    public void addProbeResult(ServerId server, boolean successful, long nowNanos) {
        ServerRecord serverRecord = records.get(server);
        if (serverRecord == null) {
            return;
        }
        serverRecord.recordProbe(successful, nowNanos + PROBE_VALID_NANOS);
        if (serverRecord.recentRequests() < MAX_IDLE_REQUESTS
                && !serverRecord.ejection(0).isEjected()
                && !serverRecord.isEvidenceSuppressed(nowNanos)) {
            serverRecord.addIncrements(0, likelihoodModel.probeLogRatio(successful), 0);
        }
    }

    /**
     * Handles the crash of a server that an identified request caused: the scores of the server are reset, evidence on
     * the server is ignored for 10 s, and an ejection that began since the crash is lifted.
     */
    public void suppressExplainedCrash(ServerId server, long crashNanos, long nowNanos) {
        ServerRecord serverRecord = records.get(server);
        if (serverRecord == null) {
            return;
        }
        serverRecord.suppressEvidenceUntil(nowNanos + CRASH_SUPPRESSION_NANOS);
        for (int scope = 0; scope < serverRecord.scopeCount(); scope++) {
            if (serverRecord.ejection(scope).hasStartedSince(crashNanos)) {
                serverRecord.ejection(scope).revoke(nowNanos);
                hasSent = false;
            }
        }
    }

    /** Scores the reports since the previous tick and decides on ejections. Called every 250 ms. */
    public DetectionResult tick(long nowNanos) {
        List<HealthAction> actions = new ArrayList<>();
        boolean changed = advanceEjections(actions, nowNanos);
        if (!pendingReports.isEmpty()) {
            scoreReports(actions, nowNanos);
            pendingReports.clear();
        }
        for (ServerRecord serverRecord : records.values()) {
            serverRecord.applyIncrements();
        }
        changed |= ejectOutliers(actions, nowNanos);
        observers.values().removeIf(record -> nowNanos - record.lastReportNanos() > OBSERVER_EXPIRY_NANOS);
        boolean sendDue = changed || !hasSent || nowNanos - lastSentNanos >= RENEWAL_NANOS;
        if (!sendDue) {
            return new DetectionResult(List.of(), Set.of(), actions);
        }
        hasSent = true;
        lastSentNanos = nowNanos;
        Set<IncarnationId> outlierObservers = new HashSet<>();
        observers.forEach((observer, record) -> {
            if (record.isOutlier()) {
                outlierObservers.add(observer);
            }
        });
        return new DetectionResult(verdicts(nowNanos), outlierObservers, actions);
    }

    /** Returns the verdicts in force and those lifted recently. */
    public List<Verdict> verdicts(long nowNanos) {
        List<Verdict> verdicts = new ArrayList<>();
        for (ServerRecord serverRecord : records.values()) {
            for (int scope = 0; scope < serverRecord.scopeCount(); scope++) {
                if (serverRecord.ejection(scope).hasVerdict()) {
                    Optional<ZoneId> zone = scope == 0 ? Optional.empty() : Optional.of(zones.get(scope - 1));
                    verdicts.add(serverRecord.ejection(scope).toVerdict(serverRecord.server(), zone, nowNanos));
                }
            }
        }
        return verdicts;
    }

    /** Returns how many report entries named a server that is not listed. */
    public long unlistedEvidenceCount() {
        return unlistedEvidenceCount;
    }

    /** Returns how many reports were dropped because too many reports of the same observer were pending. */
    public long droppedReportCount() {
        return droppedReportCount;
    }

    private boolean advanceEjections(List<HealthAction> actions, long nowNanos) {
        boolean changed = false;
        for (ServerRecord serverRecord : records.values()) {
            for (int scope = 0; scope < serverRecord.scopeCount(); scope++) {
                Ejection ejection = serverRecord.ejection(scope);
                int before = ejection.sharePercent();
                if (ejection.advance(serverRecord.isProbeFailing(nowNanos), nowNanos)) {
                    changed = true;
                    serverRecord.resetScores(scope);
                    if (before != ejection.sharePercent()) {
                        actions.add(new HealthAction.ChangeShare(
                                serverRecord.server(), before, ejection.sharePercent(), "staged readmission"));
                    }
                }
            }
        }
        return changed;
    }

    private void scoreReports(List<HealthAction> actions, long nowNanos) {
        // Scores observers before the model learns from these reports, because a faulty observer would shift it.
        pendingReports.forEach((observer, reports) -> {
            ObserverRecord record = observers.computeIfAbsent(observer, key -> new ObserverRecord());
            reports.forEach(report -> scoreObserver(record, report, nowNanos));
        });
        Map<Integer, double[]> ratiosByZone = failingEntryRatiosByZone();
        double[] allRatios = ratiosByZone.values().stream()
                .flatMapToDouble(Arrays::stream)
                .sorted()
                .toArray();
        List<HealthReport> trusted = new ArrayList<>();
        pendingReports.forEach((observer, reports) -> {
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
        List<ServerRecord> peers = new ArrayList<>(records.size());
        for (ServerRecord serverRecord : records.values()) {
            serverRecord.decayRecentCounts();
            if (!serverRecord.isRestricted() && !serverRecord.isInGracePeriod(nowNanos)) {
                peers.add(serverRecord);
            }
        }
        trusted.forEach(this::addRecentCounts);
        likelihoodModel.update(peers);
        trusted.forEach(report -> scoreServers(report, nowNanos));
    }

    private void addRecentCounts(HealthReport report) {
        int scope = scopeOf(report.zone());
        for (ServerEvidence evidence : report.evidence()) {
            ServerRecord serverRecord = records.get(evidence.server());
            if (serverRecord == null) {
                unlistedEvidenceCount++;
            } else {
                serverRecord.addRecentCounts(scope, evidence);
            }
        }
    }

    private void scoreObserver(ObserverRecord observerRecord, HealthReport report, long nowNanos) {
        observerRecord.beginReport(scopeOf(report.zone()), report.evidence().size(), nowNanos);
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

    private void scoreServers(HealthReport report, long nowNanos) {
        int scope = scopeOf(report.zone());
        for (ServerEvidence evidence : report.evidence()) {
            ServerRecord serverRecord = records.get(evidence.server());
            if (serverRecord != null) {
                double failureLogRatio =
                        serverRecord.isEvidenceSuppressed(nowNanos) ? 0 : likelihoodModel.failureLogRatio(evidence);
                double latencyLogRatio =
                        serverRecord.isInGracePeriod(nowNanos) || serverRecord.isEvidenceSuppressed(nowNanos)
                                ? 0
                                : likelihoodModel.latencyLogRatio(evidence);
                serverRecord.addIncrements(scope, failureLogRatio, latencyLogRatio);
            }
        }
    }

    private int freeIndex() {
        BitSet used = new BitSet();
        records.values().forEach(serverRecord -> used.set(serverRecord.index()));
        return used.nextClearBit(0);
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

    private boolean ejectOutliers(List<HealthAction> actions, long nowNanos) {
        boolean changed = false;
        double baseLimit = scoreLimit();
        double[] medians = new double[zones.size() + 1];
        for (int scope = 0; scope < medians.length; scope++) {
            medians[scope] = medianScore(scope);
        }
        for (ServerRecord serverRecord : records.values()) {
            if (serverRecord.ejection(0).isEjected()) {
                continue;
            }
            double limit =
                    serverRecord.ejection(0).isInReadmission() ? baseLimit * READMISSION_LIMIT_FACTOR : baseLimit;
            if (serverRecord.score(0) - medians[0] > limit) {
                changed |= ejectInAffectedZones(serverRecord, limit, actions, nowNanos);
            }
            for (int scope = 1;
                    scope < serverRecord.scopeCount()
                            && !serverRecord.ejection(0).isEjected();
                    scope++) {
                Ejection ejection = serverRecord.ejection(scope);
                double zoneLimit = ejection.isInReadmission() ? baseLimit * READMISSION_LIMIT_FACTOR : baseLimit;
                if (!ejection.isEjected() && serverRecord.score(scope) - medians[scope] > zoneLimit) {
                    eject(serverRecord, scope, actions, nowNanos);
                    changed = true;
                }
            }
        }
        return changed;
    }

    private double scoreLimit() {
        double requestsPerHour = likelihoodModel.requestsPerTick() * TICKS_PER_HOUR;
        double limit = Math.log(Math.max(1, requestsPerHour * HOURS_PER_FALSE_ALARM));
        return Math.max(MIN_SCORE_LIMIT, Math.min(SCORE_LIMIT, limit));
    }

    /**
     * Ejects the server for every zone or, if some zone with traffic of its own observes the server as healthy, only
     * for the zones that observe the fault. Returns whether anything was ejected.
     */
    private boolean ejectInAffectedZones(
            ServerRecord serverRecord, double limit, List<HealthAction> actions, long nowNanos) {
        // Normal latencies do not show that a failing server is healthy, and successes do not show that a slow server
        // is healthy.
        boolean failureDominated = serverRecord.isFailureDominated(0);
        boolean healthyInSomeZone =
                failureDominated ? isHealthyBySuccesses(serverRecord) : isHealthyByLatency(serverRecord, limit);
        if (!healthyInSomeZone) {
            eject(serverRecord, 0, actions, nowNanos);
            return true;
        }
        boolean changed = false;
        for (int scope = 1; scope < serverRecord.scopeCount(); scope++) {
            if (!serverRecord.ejection(scope).isEjected() && serverRecord.score(scope) > limit / 2) {
                eject(serverRecord, scope, actions, nowNanos);
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Returns whether failures are better explained by cut links between the server and the zones that observe failures
     * than by a fault of the server, because other zones observe successes.
     */
    private static boolean isHealthyBySuccesses(ServerRecord serverRecord) {
        int failingZones = 0;
        double successSum = 0;
        for (int scope = 1; scope < serverRecord.scopeCount(); scope++) {
            failingZones += serverRecord.failureSum(scope) > FAILING_ZONE_SUM ? 1 : 0;
            successSum += Math.min(0, serverRecord.failureSum(scope));
        }
        return successSum <= (failingZones > 1 ? CLEARLY_HEALTHY_SUM : HEALTHY_SUM);
    }

    /** Returns whether some zone observes latencies that are normal enough to exclude a slow server. */
    private static boolean isHealthyByLatency(ServerRecord serverRecord, double limit) {
        int slowZones = 0;
        double lowestSum = 0;
        for (int scope = 1; scope < serverRecord.scopeCount(); scope++) {
            slowZones += serverRecord.latencySum(scope) > limit / 4 ? 1 : 0;
            lowestSum = Math.min(lowestSum, serverRecord.latencySum(scope));
        }
        return lowestSum <= LATENCY_HEALTHY_FACTOR * (slowZones > 1 ? CLEARLY_HEALTHY_SUM : HEALTHY_SUM);
    }

    private void eject(ServerRecord serverRecord, int scope, List<HealthAction> actions, long nowNanos) {
        String zone = scope == 0 ? "every zone" : "zone " + zones.get(scope - 1);
        String evidence = String.format(
                Locale.ROOT,
                "%s observed from %s, score %.1f, failures in %.0f %% of recent requests, expected at most %.0f %%",
                serverRecord.isFailureDominated(scope) ? "failures" : "latency",
                zone,
                serverRecord.score(scope),
                100 * serverRecord.recentFailureRatio(),
                100 * likelihoodModel.baselineFailureRatio());
        int before = serverRecord.ejection(scope).sharePercent();
        // The readmission stages have the severities 2 and 1, so an ejection takes precedence over them.
        serverRecord.ejection(scope).start(3 + (int) serverRecord.score(scope), evidence, nowNanos);
        actions.add(new HealthAction.ChangeShare(serverRecord.server(), before, 0, evidence));
        if (scope == 0) {
            serverRecord.resetScores();
        } else {
            serverRecord.resetScores(scope);
            // The evidence of this zone must not get the server ejected in zones that observe it as healthy.
            serverRecord.resetScores(0);
        }
    }

    private double medianScore(int scope) {
        double[] scores = records.values().stream()
                .filter(serverRecord -> serverRecord.recentRequests(scope) > 0 && !serverRecord.isRestricted())
                .mapToDouble(serverRecord -> serverRecord.score(scope))
                .sorted()
                .toArray();
        return scores.length < 2 ? 0 : scores[(scores.length - 1) / 2];
    }

    /** Returns the scope of a zone. A new zone is added to every server record. */
    private int scopeOf(ZoneId zone) {
        Integer index = zoneIndexes.get(zone);
        if (index == null) {
            zones.add(zone);
            index = zones.size();
            zoneIndexes.put(zone, index);
            for (ServerRecord serverRecord : records.values()) {
                serverRecord.ensureScopeCount(index + 1);
            }
        }
        return index;
    }
}
