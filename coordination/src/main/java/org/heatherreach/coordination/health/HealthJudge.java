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
 * Judges the servers of one service part from the pooled evidence of all daemons.
 *
 * <p>Each tick compares the new evidence of every server with its peers and adds the log likelihood ratio to scores per
 * server and scope. A server whose score exceeds the median score of its peers by a limit is ejected. So one
 * sample decides nothing, and a service that gets slow as a whole has no outlier.
 *
 * <p>Invariants: evidence of an observer that contradicts its peers over most servers is ignored; a fault that other
 * zones do not see is judged for the zones that see it; the latency of a new server is ignored during its cold start.
 * The floor is not known here: each daemon applies it. Confined to one duty thread.
 */
public final class HealthJudge {
    /** Latency of a server that joins the list later than the judge is ignored this long. */
    public static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /**
     * The largest score at which a server is ejected. By Wald's bound a sequential test with limit h has at most one
     * false alarm in exp(h) observations.
     */
    static final double SCORE_LIMIT = 18;

    /** Above what a single exchange can add: one latency and two stalls at the largest weights. */
    private static final double MIN_SCORE_LIMIT = 14;

    /** The limit is the logarithm of the requests in this many hours, which a false alarm by Wald's bound takes. */
    private static final double HOURS_PER_FALSE_ALARM = 20;

    /** During readmission the fault is already known, so less evidence suffices. */
    private static final double STAGED_LIMIT_FACTOR = 0.5;

    private static final double TICKS_PER_HOUR = (double) TimeUnit.HOURS.toNanos(1) / EvidenceWindow.INTERVAL_NANOS;
    private static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long EXCUSE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long PROBE_VALID_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long OBSERVER_FORGET_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** With less recent traffic than this a server counts as idle, and probes count for it. */
    private static final double IDLE_REQUESTS = 0.1;
    /**
     * Zones see a server as healthy if their evidence since the pooled score began to rise sums up to this, which is
     * about five successes. If two zones see the fault, it takes about twelve, as then the server is the likelier cause.
     */
    private static final double HEALTHY_SUM = -1;

    private static final double CLEARLY_HEALTHY_SUM = -2.5;
    /** A zone with a failure has seen the fault unless about ten successes outweigh it. */
    private static final double FAILURE_SEEN_SUM = 1;
    /** A normal latency weighs up to ten times as much as a success, and a slow server has some too. */
    private static final double LATENCY_HEALTHY_FACTOR = 16;

    /** Below the 30 % of failures to be found; an observer contradicts its peers if it is also thrice theirs. */
    private static final double OUTLIER_RATIO = 0.2;

    private static final double OUTLIER_FACTOR = 3;
    /** Reports that one observer may have waiting; more than one arrive in a tick only after a delay on the way. */
    private static final int MAX_PENDING_REPORTS = 8;

    /** The evidence of one observer for one server counts as failing above this log likelihood ratio. */
    private static final double FAILING_STEP = 1.5;

    private final ServiceId service;
    private final int part;
    private final Map<ServerId, ServerRecord> records = new TreeMap<>();
    private final Map<IncarnationId, ObserverRecord> observers = new HashMap<>();
    private final Map<IncarnationId, List<HealthReport>> pending = new LinkedHashMap<>();
    private final Map<ZoneId, Integer> zoneIndexes = new HashMap<>();
    private final List<ZoneId> zones = new ArrayList<>();
    private final Reference reference = new Reference();
    private boolean hasServerList;
    private boolean hasSent;
    private long lastSentNanos;
    private long unlistedEvidence;
    private long droppedReports;

    /** Creates a judge that knows no servers. */
    public HealthJudge(ServiceId service, int part) {
        this.service = Objects.requireNonNull(service, "service");
        this.part = part;
    }

    /** Replaces the servers of the part. Those of the first list count as warm, later ones get a grace period. */
    public void updateServers(Collection<ServerId> listed, long nowNanos) {
        Set<ServerId> next = new HashSet<>(listed);
        records.keySet().retainAll(next);
        for (ServerId server : next) {
            if (!records.containsKey(server)) {
                ServerRecord added = new ServerRecord(server, freeIndex());
                added.growTo(zones.size() + 1);
                if (hasServerList) {
                    added.grantGrace(nowNanos + GRACE_NANOS);
                }
                records.put(server, added);
            }
        }
        hasServerList = true;
    }

    /**
     * Takes a report; it is weighed at the next tick. More than a few reports of one observer before that are dropped
     * and counted, so that an observer can't grow the memory of its owner.
     *
     * @throws IllegalArgumentException if the report is for another service part
     */
    public void report(IncarnationId observer, HealthReport report, long nowNanos) {
        Objects.requireNonNull(observer, "observer");
        if (!report.service().equals(service) || report.part() != part) {
            throw new IllegalArgumentException("report for " + report.service() + "/" + report.part());
        }
        zoneScope(report.zone());
        List<HealthReport> reports = pending.computeIfAbsent(observer, key -> new ArrayList<>(2));
        if (reports.size() < MAX_PENDING_REPORTS) {
            reports.add(report);
        } else {
            droppedReports++;
        }
    }

    /** Takes the result of a probe. It counts only for servers without traffic. */
    public void probe(ServerId server, boolean successful, long nowNanos) {
        ServerRecord known = records.get(server);
        if (known == null) {
            return;
        }
        known.noteProbe(successful, nowNanos + PROBE_VALID_NANOS);
        if (known.recentRequests() < IDLE_REQUESTS && !known.ejection(0).isEjected() && !known.isExcused(nowNanos)) {
            known.addSteps(0, reference.weighProbe(successful), 0);
        }
    }

    /**
     * Takes a crash that an identified request explains: evidence against the server is dropped and an ejection that
     * began since the crash is lifted.
     */
    public void excuse(ServerId server, long crashNanos, long nowNanos) {
        ServerRecord known = records.get(server);
        if (known == null) {
            return;
        }
        known.excuseUntil(nowNanos + EXCUSE_NANOS);
        for (int scope = 0; scope < known.scopes(); scope++) {
            if (known.ejection(scope).hasStartedSince(crashNanos)) {
                known.ejection(scope).excuse(nowNanos);
                hasSent = false;
            }
        }
    }

    /** Weighs the reports since the previous tick and decides. Called each 250 ms. */
    public JudgeResult tick(long nowNanos) {
        List<HealthAction> actions = new ArrayList<>();
        boolean changed = advanceEjections(actions, nowNanos);
        if (!pending.isEmpty()) {
            weighReports(actions, nowNanos);
            pending.clear();
        }
        for (ServerRecord known : records.values()) {
            known.applySteps();
        }
        changed |= judgeServers(actions, nowNanos);
        observers.values().removeIf(record -> nowNanos - record.lastReportNanos() > OBSERVER_FORGET_NANOS);
        boolean due = changed || !hasSent || nowNanos - lastSentNanos >= RENEWAL_NANOS;
        if (!due) {
            return new JudgeResult(List.of(), Set.of(), actions);
        }
        hasSent = true;
        lastSentNanos = nowNanos;
        Set<IncarnationId> outliers = new HashSet<>();
        observers.forEach((observer, record) -> {
            if (record.isOutlier()) {
                outliers.add(observer);
            }
        });
        return new JudgeResult(verdicts(nowNanos), outliers, actions);
    }

    /** Returns the verdicts in force and those lifted recently. */
    public List<Verdict> verdicts(long nowNanos) {
        List<Verdict> verdicts = new ArrayList<>();
        for (ServerRecord known : records.values()) {
            for (int scope = 0; scope < known.scopes(); scope++) {
                if (known.ejection(scope).isVisible()) {
                    Optional<ZoneId> zone = scope == 0 ? Optional.empty() : Optional.of(zones.get(scope - 1));
                    verdicts.add(known.ejection(scope).toVerdict(known.server(), zone, nowNanos));
                }
            }
        }
        return verdicts;
    }

    /** Returns how many entries of reports named a server that is not listed. */
    public long unlistedEvidence() {
        return unlistedEvidence;
    }

    /** Returns how many reports were dropped because too many of one observer were waiting. */
    public long droppedReports() {
        return droppedReports;
    }

    private boolean advanceEjections(List<HealthAction> actions, long nowNanos) {
        boolean changed = false;
        for (ServerRecord known : records.values()) {
            for (int scope = 0; scope < known.scopes(); scope++) {
                Ejection ejection = known.ejection(scope);
                int before = ejection.sharePercent();
                if (ejection.advance(known.probeFails(nowNanos), nowNanos)) {
                    changed = true;
                    known.resetScores(scope);
                    if (before != ejection.sharePercent()) {
                        actions.add(new HealthAction.ChangeShare(
                                known.server(), before, ejection.sharePercent(), "staged readmission"));
                    }
                }
            }
        }
        return changed;
    }

    private void weighReports(List<HealthAction> actions, long nowNanos) {
        // Observers are compared by what was usual before these reports, which a faulty one would shift.
        pending.forEach((observer, reports) -> {
            ObserverRecord record = observers.computeIfAbsent(observer, key -> new ObserverRecord());
            reports.forEach(report -> weighObserver(record, report, nowNanos));
        });
        Map<Integer, double[]> ratiosByZone = ratiosByZone();
        double[] allRatios = ratiosByZone.values().stream()
                .flatMapToDouble(Arrays::stream)
                .sorted()
                .toArray();
        List<HealthReport> trusted = new ArrayList<>();
        pending.forEach((observer, reports) -> {
            ObserverRecord record = observers.get(observer);
            boolean contradicts = contradictsPeers(record, ratiosByZone.get(record.zone()), allRatios);
            boolean outlier = contradicts && (record.isOutlier() || record.isConvincing());
            if (outlier != record.isOutlier()) {
                record.setOutlier(outlier);
                actions.add(new HealthAction.ChangeObserver(observer, outlier));
            }
            if (!contradicts) {
                trusted.addAll(reports);
            }
        });
        List<ServerRecord> peers = new ArrayList<>(records.size());
        for (ServerRecord known : records.values()) {
            known.decayRecent();
            if (!known.isRestricted() && !known.hasGrace(nowNanos)) {
                peers.add(known);
            }
        }
        trusted.forEach(this::addRecent);
        reference.rebuild(peers);
        trusted.forEach(report -> weighServers(report, nowNanos));
    }

    private void addRecent(HealthReport report) {
        int scope = zoneScope(report.zone());
        for (ServerEvidence evidence : report.evidence()) {
            ServerRecord known = records.get(evidence.server());
            if (known == null) {
                unlistedEvidence++;
            } else {
                known.addRecent(scope, evidence);
            }
        }
    }

    private void weighObserver(ObserverRecord observer, HealthReport report, long nowNanos) {
        observer.beginReport(zoneScope(report.zone()), report.evidence().size(), nowNanos);
        double sum = 0;
        for (ServerEvidence evidence : report.evidence()) {
            ServerRecord known = records.get(evidence.server());
            if (known == null || known.isRestricted() || known.hasGrace(nowNanos)) {
                continue;
            }
            // Fast answers do not excuse failures, or a daemon that loses half of its responses looks healthy.
            double step = reference.weighFailures(evidence) + Math.max(0, reference.weighLatencies(evidence));
            sum += step;
            observer.noteServer(known.index(), step, step > FAILING_STEP);
        }
        observer.endReport(sum);
    }

    private void weighServers(HealthReport report, long nowNanos) {
        int scope = zoneScope(report.zone());
        for (ServerEvidence evidence : report.evidence()) {
            ServerRecord known = records.get(evidence.server());
            if (known != null) {
                double failureStep = known.isExcused(nowNanos) ? 0 : reference.weighFailures(evidence);
                double latencyStep =
                        known.hasGrace(nowNanos) || known.isExcused(nowNanos) ? 0 : reference.weighLatencies(evidence);
                known.addSteps(scope, failureStep, latencyStep);
            }
        }
    }

    private int freeIndex() {
        BitSet used = new BitSet();
        records.values().forEach(known -> used.set(known.index()));
        return used.nextClearBit(0);
    }

    private Map<Integer, double[]> ratiosByZone() {
        Map<Integer, List<Double>> collected = new HashMap<>();
        for (ObserverRecord observer : observers.values()) {
            if (observer.hasSeenSeveral()) {
                collected
                        .computeIfAbsent(observer.zone(), key -> new ArrayList<>())
                        .add(observer.failingRatio());
            }
        }
        Map<Integer, double[]> sorted = new HashMap<>();
        collected.forEach((zone, ratios) -> sorted.put(
                zone, ratios.stream().mapToDouble(Double::doubleValue).sorted().toArray()));
        return sorted;
    }

    /** Compares with observers of the same zone if there are enough, because a zone as a whole may be cut off. */
    private boolean contradictsPeers(ObserverRecord observer, double[] zoneRatios, double[] allRatios) {
        if (!observer.isSuspicious() || !observer.hasSeenSeveral()) {
            return false;
        }
        // Once it is known as faulty, a run of successes does not make it trusted before its score has fallen.
        if (!observer.isOutlier() && !observer.seesManyFailing(records.size())) {
            return false;
        }
        double[] ratios = zoneRatios != null && zoneRatios.length >= 3 ? zoneRatios : allRatios;
        if (ratios.length < 3) {
            return false;
        }
        double median = ratios[(ratios.length - 1) / 2];
        return observer.failingRatioSinceRise() > Math.max(OUTLIER_RATIO, OUTLIER_FACTOR * median);
    }

    private boolean judgeServers(List<HealthAction> actions, long nowNanos) {
        boolean changed = false;
        double usualLimit = scoreLimit();
        double[] medians = new double[zones.size() + 1];
        for (int scope = 0; scope < medians.length; scope++) {
            medians[scope] = medianScore(scope);
        }
        for (ServerRecord known : records.values()) {
            if (known.ejection(0).isEjected()) {
                continue;
            }
            double limit = known.ejection(0).isStaged() ? usualLimit * STAGED_LIMIT_FACTOR : usualLimit;
            if (known.score(0) - medians[0] > limit) {
                changed |= judgePooled(known, limit, actions, nowNanos);
            }
            for (int scope = 1; scope < known.scopes() && !known.ejection(0).isEjected(); scope++) {
                Ejection ejection = known.ejection(scope);
                double zoneLimit = ejection.isStaged() ? usualLimit * STAGED_LIMIT_FACTOR : usualLimit;
                if (!ejection.isEjected() && known.score(scope) - medians[scope] > zoneLimit) {
                    eject(known, scope, actions, nowNanos);
                    changed = true;
                }
            }
        }
        return changed;
    }

    private double scoreLimit() {
        double requestsPerHour = reference.requestsPerTick() * TICKS_PER_HOUR;
        double limit = Math.log(Math.max(1, requestsPerHour * HOURS_PER_FALSE_ALARM));
        return Math.max(MIN_SCORE_LIMIT, Math.min(SCORE_LIMIT, limit));
    }

    /** Ejects for every zone, unless some zone with traffic of its own sees the server as healthy. */
    private boolean judgePooled(ServerRecord known, double limit, List<HealthAction> actions, long nowNanos) {
        // Normal latencies are no evidence for a server that fails, nor successes for one that is slow.
        boolean failing = known.isMostlyFailing(0);
        boolean seenHealthy = failing ? isSeenSuccessful(known) : isSeenFast(known, limit);
        if (!seenHealthy) {
            eject(known, 0, actions, nowNanos);
            return true;
        }
        boolean changed = false;
        for (int scope = 1; scope < known.scopes(); scope++) {
            if (!known.ejection(scope).isEjected() && known.score(scope) > limit / 2) {
                eject(known, scope, actions, nowNanos);
                changed = true;
            }
        }
        return changed;
    }

    /** Two explanations are compared: a fault of the server, or cuts between it and the zones that see failures. */
    private static boolean isSeenSuccessful(ServerRecord known) {
        int bad = 0;
        double successes = 0;
        for (int scope = 1; scope < known.scopes(); scope++) {
            bad += known.failureSum(scope) > FAILURE_SEEN_SUM ? 1 : 0;
            successes += Math.min(0, known.failureSum(scope));
        }
        return successes <= (bad > 1 ? CLEARLY_HEALTHY_SUM : HEALTHY_SUM);
    }

    private static boolean isSeenFast(ServerRecord known, double limit) {
        int bad = 0;
        double least = 0;
        for (int scope = 1; scope < known.scopes(); scope++) {
            bad += known.latencySum(scope) > limit / 4 ? 1 : 0;
            least = Math.min(least, known.latencySum(scope));
        }
        return least <= LATENCY_HEALTHY_FACTOR * (bad > 1 ? CLEARLY_HEALTHY_SUM : HEALTHY_SUM);
    }

    private void eject(ServerRecord known, int scope, List<HealthAction> actions, long nowNanos) {
        String zone = scope == 0 ? "every zone" : "zone " + zones.get(scope - 1);
        String evidence = String.format(
                Locale.ROOT,
                "%s seen from %s, score %.1f, failures %.0f %% of recent requests, usual at most %.0f %%",
                known.isMostlyFailing(scope) ? "failures" : "latency",
                zone,
                known.score(scope),
                100 * known.recentFailureRatio(),
                100 * reference.usualFailureRatio());
        int before = known.ejection(scope).sharePercent();
        known.ejection(scope).start(3 + (int) known.score(scope), evidence, nowNanos);
        actions.add(new HealthAction.ChangeShare(known.server(), before, 0, evidence));
        if (scope == 0) {
            known.resetScores();
        } else {
            known.resetScores(scope);
            // What this zone contributed must not convict the server in zones that see it as healthy.
            known.resetScores(0);
        }
    }

    private double medianScore(int scope) {
        double[] scores = records.values().stream()
                .filter(known -> known.recentRequests(scope) > 0 && !known.isRestricted())
                .mapToDouble(known -> known.score(scope))
                .sorted()
                .toArray();
        return scores.length < 2 ? 0 : scores[(scores.length - 1) / 2];
    }

    private int zoneScope(ZoneId zone) {
        Integer index = zoneIndexes.get(zone);
        if (index == null) {
            zones.add(zone);
            index = zones.size();
            zoneIndexes.put(zone, index);
            for (ServerRecord known : records.values()) {
                known.growTo(index + 1);
            }
        }
        return index;
    }
}
