package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Applies verdicts in one daemon as far as the floor of the service allows.
 *
 * <p>Invariant: after every call, the number of servers that are ejected, restricted or unavailable is at most the
 * number of listed servers minus the floor. If the unavailable servers alone exceed that number, no other server is
 * ejected or restricted. The invariant holds whoever issues the verdicts and in whatever order they arrive. A server
 * that is being readmitted counts in full, because it does not carry its full share yet.
 *
 * <p>Confined to one duty thread.
 */
public final class EjectionGuard {
    /** The longest time for which a verdict lasts without renewal, whatever its sender asks for. */
    public static final long MAX_VALID_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final ZoneId zone;
    private final Map<ServerId, Map<VerdictSource, ActiveVerdict>> verdictsByServer = new HashMap<>();
    private final Map<ServerId, Integer> sharePercentByServer = new HashMap<>();
    private final Set<ServerId> withheldServers = new HashSet<>();
    private ServiceLimits limits;
    private Set<ServerId> listed = Set.of();
    private Set<ServerId> unavailable = Set.of();
    private long nextExpiryDeadlineNanos;
    private boolean hasExpiry;

    /** Creates a guard without servers. */
    public EjectionGuard(ZoneId zone, ServiceLimits limits) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /** Replaces the limits after a change of the table. */
    public List<HealthAction> updateLimits(ServiceLimits newLimits, long nowNanos) {
        limits = Objects.requireNonNull(newLimits, "newLimits");
        return refresh(nowNanos);
    }

    /** Replaces the server list. Verdicts about servers that are no longer listed are dropped. */
    public List<HealthAction> updateServers(
            Collection<ServerId> newListed, Collection<ServerId> newUnavailable, long nowNanos) {
        listed = new HashSet<>(newListed);
        Set<ServerId> listedUnavailable = new HashSet<>(newUnavailable);
        listedUnavailable.retainAll(listed);
        unavailable = listedUnavailable;
        verdictsByServer.keySet().retainAll(listed);
        return refresh(nowNanos);
    }

    /** Applies verdicts of one owner. Those for other zones or for servers that are not listed are ignored. */
    public List<HealthAction> apply(IncarnationId owner, List<Verdict> verdicts, long nowNanos) {
        Objects.requireNonNull(owner, "owner");
        for (Verdict verdict : verdicts) {
            boolean concernsZone = verdict.observerZone().isEmpty()
                    || verdict.observerZone().get().equals(zone);
            if (!concernsZone || !listed.contains(verdict.server())) {
                continue;
            }
            VerdictSource source =
                    new VerdictSource(owner, verdict.observerZone().isPresent());
            if (verdict.sharePercent() == 100) {
                Map<VerdictSource, ActiveVerdict> bySource = verdictsByServer.get(verdict.server());
                if (bySource != null) {
                    bySource.remove(source);
                }
            } else {
                long validNanos = Math.min(MAX_VALID_NANOS, TimeUnit.MILLISECONDS.toNanos(verdict.validMillis()));
                verdictsByServer
                        .computeIfAbsent(verdict.server(), key -> new HashMap<>())
                        .put(source, new ActiveVerdict(verdict, nowNanos + validNanos));
            }
        }
        return refresh(nowNanos);
    }

    /** Drops expired verdicts and lifts the restrictions that they caused. */
    public List<HealthAction> tick(long nowNanos) {
        return hasExpiry && nowNanos - nextExpiryDeadlineNanos >= 0 ? refresh(nowNanos) : List.of();
    }

    /** Returns the share of its usual traffic that a server may get: 0 if ejected, unavailable or not listed. */
    public int sharePercent(ServerId server) {
        if (!listed.contains(server) || unavailable.contains(server)) {
            return 0;
        }
        return sharePercentByServer.getOrDefault(server, 100);
    }

    /** Returns how many servers are ejected or restricted. */
    public int restrictedCount() {
        return sharePercentByServer.size();
    }

    /** Returns how many servers the floor allows to be ejected or restricted now. */
    public int maxRestrictedCount() {
        return Math.max(0, listed.size() - limits.floorOf(listed.size()) - unavailable.size());
    }

    private List<HealthAction> refresh(long nowNanos) {
        List<ActiveVerdict> candidates = collectStrictestVerdicts(nowNanos);
        candidates.sort(Comparator.comparingInt((ActiveVerdict active) -> -active.verdict.severity())
                .thenComparing(active -> active.verdict.server()));
        int allowedCount = Math.min(maxRestrictedCount(), candidates.size());
        Map<ServerId, ActiveVerdict> enforced = new TreeMap<>();
        for (ActiveVerdict active : candidates.subList(0, allowedCount)) {
            enforced.put(active.verdict.server(), active);
        }
        List<HealthAction> actions = new ArrayList<>();
        // Lists lifted restrictions before new ones, so that a reader of the actions never counts more restricted
        // servers than the floor allows.
        for (Iterator<Map.Entry<ServerId, Integer>> it =
                        sharePercentByServer.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<ServerId, Integer> entry = it.next();
            if (!enforced.containsKey(entry.getKey())) {
                actions.add(new HealthAction.ChangeShare(
                        entry.getKey(), entry.getValue(), 100, "restriction ended or not allowed by the floor"));
                it.remove();
            }
        }
        enforced.forEach((server, active) -> {
            int sharePercent = active.verdict.sharePercent();
            Integer previousPercent = sharePercentByServer.put(server, sharePercent);
            if (previousPercent == null || previousPercent != sharePercent) {
                actions.add(new HealthAction.ChangeShare(
                        server,
                        previousPercent == null ? 100 : previousPercent,
                        sharePercent,
                        active.verdict.evidence()));
            }
        });
        reportWithheld(candidates.subList(allowedCount, candidates.size()), actions);
        return actions;
    }

    private void reportWithheld(List<ActiveVerdict> withheldVerdicts, List<HealthAction> actions) {
        Set<ServerId> withheldNow = new HashSet<>();
        for (ActiveVerdict active : withheldVerdicts) {
            withheldNow.add(active.verdict.server());
            if (!withheldServers.contains(active.verdict.server())) {
                actions.add(new HealthAction.WithholdEjection(active.verdict.server(), active.verdict.evidence()));
            }
        }
        withheldServers.clear();
        withheldServers.addAll(withheldNow);
    }

    /**
     * Drops expired verdicts, updates the next expiry, and returns the strictest verdict in force for each available
     * server.
     */
    private List<ActiveVerdict> collectStrictestVerdicts(long nowNanos) {
        List<ActiveVerdict> candidates = new ArrayList<>();
        hasExpiry = false;
        for (Iterator<Map.Entry<ServerId, Map<VerdictSource, ActiveVerdict>>> it =
                        verdictsByServer.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<ServerId, Map<VerdictSource, ActiveVerdict>> entry = it.next();
            entry.getValue().values().removeIf(active -> nowNanos - active.expiryDeadlineNanos >= 0);
            if (entry.getValue().isEmpty()) {
                it.remove();
                continue;
            }
            ActiveVerdict strictest = null;
            for (ActiveVerdict active : entry.getValue().values()) {
                if (!hasExpiry || active.expiryDeadlineNanos - nextExpiryDeadlineNanos < 0) {
                    hasExpiry = true;
                    nextExpiryDeadlineNanos = active.expiryDeadlineNanos;
                }
                if (strictest == null || active.isStricterThan(strictest)) {
                    strictest = active;
                }
            }
            if (!unavailable.contains(entry.getKey())) {
                candidates.add(strictest);
            }
        }
        return candidates;
    }

    private record VerdictSource(IncarnationId owner, boolean zoneOnly) {}

    private record ActiveVerdict(Verdict verdict, long expiryDeadlineNanos) {
        boolean isStricterThan(ActiveVerdict other) {
            if (verdict.sharePercent() != other.verdict.sharePercent()) {
                return verdict.sharePercent() < other.verdict.sharePercent();
            }
            return verdict.severity() > other.verdict.severity();
        }
    }
}
