package org.heatherreach.coordination.health;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.ServerId;

/**
 * Decides from the scores which servers are ejected, and for which zones.
 *
 * <p>Invariants: a server is ejected only if its score exceeds the median score of its peers by a limit; a server with a
 * fault that other zones do not observe is ejected only for the zones that observe it; the scores that led to an ejection
 * are reset. Confined to one duty thread.
 */
final class EjectionPolicy {
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

    private final Map<ServerId, ServerRecord> records;
    private final ZoneScopes scopes;
    private final LikelihoodModel likelihoodModel;

    /**
     * Creates a policy.
     *
     * @param records a view of the servers of the part
     * @param scopes the scopes of the zones of all reports
     * @param likelihoodModel gives the rate of requests and the usual ratio of failures
     */
    EjectionPolicy(Map<ServerId, ServerRecord> records, ZoneScopes scopes, LikelihoodModel likelihoodModel) {
        this.records = Objects.requireNonNull(records, "records");
        this.scopes = Objects.requireNonNull(scopes, "scopes");
        this.likelihoodModel = Objects.requireNonNull(likelihoodModel, "likelihoodModel");
    }

    /**
     * Ejects the servers whose scores are too high. Returns whether anything was ejected.
     *
     * @param actions receives the changes
     */
    boolean ejectOutliers(List<HealthAction> actions, long nowNanos) {
        boolean changed = false;
        double baseLimit = scoreLimit();
        double[] medians = new double[scopes.count()];
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
        return Math.max(MIN_SCORE_LIMIT, Math.min(OutlierDetector.SCORE_LIMIT, limit));
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
        String zone = scopes.zoneOf(scope).map(id -> "zone " + id).orElse("every zone");
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
}
