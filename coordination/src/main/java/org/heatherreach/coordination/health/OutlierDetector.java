package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * Detects outliers among the servers of one service part from the pooled evidence of all daemons.
 *
 * <p>Each tick compares the new evidence on every server with its peers and adds the log likelihood ratio to scores per
 * server and scope. Therefore no single sample decides, and a service that gets slow as a whole has no outlier.
 * {@link ObserverTrust} says whose evidence counts, {@link EjectionPolicy} which servers are ejected.
 *
 * <p>Invariants: the evidence of an observer, which is a daemon that sends reports, is scored at most once and only while
 * the observer is trusted; the latency of a new server is ignored during its cold start. The floor is not applied here
 * but by each daemon. Confined to one duty thread.
 */
public final class OutlierDetector {
    /** The latency of a server that is listed later than the first servers of the part is ignored for this long. */
    public static final long COLD_START_GRACE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /**
     * The largest limit for the score at which a server is ejected. By Wald's bound, a sequential test with limit h has
     * at most one false alarm in exp(h) observations.
     */
    static final double SCORE_LIMIT = 18;

    private static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CRASH_SUPPRESSION_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long PROBE_VALID_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** A server with fewer recent requests counts as idle, and its probes add to its score. */
    private static final double MAX_IDLE_REQUESTS = 0.1;
    /**
     * The number of reports of one observer that may wait for a tick. More than one arrives in a tick only if reports
     * were delayed on the network.
     */
    private static final int MAX_PENDING_REPORTS = 8;

    private final ServiceId service;
    private final int part;
    private final Map<ServerId, ServerRecord> records = new TreeMap<>();
    private final Map<IncarnationId, List<HealthReport>> pendingReports = new LinkedHashMap<>();
    private final ZoneScopes scopes = new ZoneScopes();
    private final LikelihoodModel likelihoodModel = new LikelihoodModel();
    private final ObserverTrust observerTrust = new ObserverTrust(records, scopes, likelihoodModel);
    private final EjectionPolicy ejectionPolicy = new EjectionPolicy(records, scopes, likelihoodModel);
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
                newRecord.ensureScopeCount(scopes.count());
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
        if (scopes.add(report.zone())) {
            records.values().forEach(serverRecord -> serverRecord.ensureScopeCount(scopes.count()));
        }
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
        changed |= ejectionPolicy.ejectOutliers(actions, nowNanos);
        observerTrust.removeExpired(nowNanos);
        boolean sendDue = changed || !hasSent || nowNanos - lastSentNanos >= RENEWAL_NANOS;
        if (!sendDue) {
            return new DetectionResult(List.of(), Set.of(), actions);
        }
        hasSent = true;
        lastSentNanos = nowNanos;
        return new DetectionResult(verdicts(nowNanos), observerTrust.outliers(), actions);
    }

    /** Returns the verdicts in force and those lifted recently. */
    public List<Verdict> verdicts(long nowNanos) {
        List<Verdict> verdicts = new ArrayList<>();
        for (ServerRecord serverRecord : records.values()) {
            for (int scope = 0; scope < serverRecord.scopeCount(); scope++) {
                if (serverRecord.ejection(scope).hasVerdict()) {
                    verdicts.add(serverRecord
                            .ejection(scope)
                            .toVerdict(serverRecord.server(), scopes.zoneOf(scope), nowNanos));
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
        observerTrust.score(pendingReports, nowNanos);
        List<HealthReport> trusted = observerTrust.selectTrusted(pendingReports, actions);
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
        int scope = scopes.of(report.zone());
        for (ServerEvidence evidence : report.evidence()) {
            ServerRecord serverRecord = records.get(evidence.server());
            if (serverRecord == null) {
                unlistedEvidenceCount++;
            } else {
                serverRecord.addRecentCounts(scope, evidence);
            }
        }
    }

    private void scoreServers(HealthReport report, long nowNanos) {
        int scope = scopes.of(report.zone());
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
}
