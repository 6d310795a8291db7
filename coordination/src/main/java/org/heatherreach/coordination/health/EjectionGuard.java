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
 * Applies verdicts in one daemon under the floor of the service.
 *
 * <p>Invariant: after every call, the servers that are ejected or restricted plus those that are unavailable are at most
 * the listed servers minus the floor, unless the unavailable ones alone are more; in that case none is ejected. So it
 * depends neither on who issues verdicts nor on the order in which they arrive. A server that is being readmitted counts
 * in full, because it does not carry its share yet.
 *
 * <p>Confined to one duty thread.
 */
public final class EjectionGuard {
    /** Bounds how long a verdict lasts without renewal, whatever its sender asks for. */
    public static final long MAX_VALID_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final ZoneId zone;
    private final Map<ServerId, Map<Source, Applied>> verdictsByServer = new HashMap<>();
    private final Map<ServerId, Integer> shareByServer = new HashMap<>();
    private final Set<ServerId> withheld = new HashSet<>();
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
        Set<ServerId> both = new HashSet<>(newUnavailable);
        both.retainAll(listed);
        unavailable = both;
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
            Source source = new Source(owner, verdict.observerZone().isPresent());
            if (verdict.sharePercent() == 100) {
                Map<Source, Applied> bySource = verdictsByServer.get(verdict.server());
                if (bySource != null) {
                    bySource.remove(source);
                }
            } else {
                long validNanos = Math.min(MAX_VALID_NANOS, TimeUnit.MILLISECONDS.toNanos(verdict.validMillis()));
                verdictsByServer
                        .computeIfAbsent(verdict.server(), key -> new HashMap<>())
                        .put(source, new Applied(verdict, nowNanos + validNanos));
            }
        }
        return refresh(nowNanos);
    }

    /** Ends what has expired. */
    public List<HealthAction> tick(long nowNanos) {
        return hasExpiry && nowNanos - nextExpiryDeadlineNanos >= 0 ? refresh(nowNanos) : List.of();
    }

    /** Returns the share of its usual traffic that a server may get: 0 if ejected, unavailable or not listed. */
    public int sharePercent(ServerId server) {
        if (!listed.contains(server) || unavailable.contains(server)) {
            return 0;
        }
        return shareByServer.getOrDefault(server, 100);
    }

    /** Returns how many servers are ejected or restricted. */
    public int restrictedCount() {
        return shareByServer.size();
    }

    /** Returns how many ejections the floor allows now. */
    public int allowance() {
        return Math.max(0, listed.size() - limits.floorOf(listed.size()) - unavailable.size());
    }

    private List<HealthAction> refresh(long nowNanos) {
        List<Applied> candidates = collectInForce(nowNanos);
        candidates.sort(Comparator.comparingInt((Applied applied) -> -applied.verdict.severity())
                .thenComparing(applied -> applied.verdict.server()));
        int allowed = Math.min(allowance(), candidates.size());
        Map<ServerId, Applied> next = new TreeMap<>();
        for (Applied applied : candidates.subList(0, allowed)) {
            next.put(applied.verdict.server(), applied);
        }
        List<HealthAction> actions = new ArrayList<>();
        // Lifts restrictions before it adds others, so that a reader of the actions never counts too many.
        for (Iterator<Map.Entry<ServerId, Integer>> it =
                        shareByServer.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<ServerId, Integer> entry = it.next();
            if (!next.containsKey(entry.getKey())) {
                actions.add(new HealthAction.ChangeShare(entry.getKey(), entry.getValue(), 100, "ended or over floor"));
                it.remove();
            }
        }
        next.forEach((server, applied) -> {
            int share = applied.verdict.sharePercent();
            Integer before = shareByServer.put(server, share);
            if (before == null || before != share) {
                actions.add(new HealthAction.ChangeShare(
                        server, before == null ? 100 : before, share, applied.verdict.evidence()));
            }
        });
        noteWithheld(candidates.subList(allowed, candidates.size()), actions);
        return actions;
    }

    private void noteWithheld(List<Applied> over, List<HealthAction> actions) {
        Set<ServerId> next = new HashSet<>();
        for (Applied applied : over) {
            next.add(applied.verdict.server());
            if (!withheld.contains(applied.verdict.server())) {
                actions.add(new HealthAction.WithholdEjection(applied.verdict.server(), applied.verdict.evidence()));
            }
        }
        withheld.clear();
        withheld.addAll(next);
    }

    /** Returns the strictest verdict in force for each available server. */
    private List<Applied> collectInForce(long nowNanos) {
        List<Applied> candidates = new ArrayList<>();
        hasExpiry = false;
        for (Iterator<Map.Entry<ServerId, Map<Source, Applied>>> it =
                        verdictsByServer.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<ServerId, Map<Source, Applied>> entry = it.next();
            entry.getValue().values().removeIf(applied -> nowNanos - applied.expiryDeadlineNanos >= 0);
            if (entry.getValue().isEmpty()) {
                it.remove();
                continue;
            }
            Applied strictest = null;
            for (Applied applied : entry.getValue().values()) {
                if (!hasExpiry || applied.expiryDeadlineNanos - nextExpiryDeadlineNanos < 0) {
                    hasExpiry = true;
                    nextExpiryDeadlineNanos = applied.expiryDeadlineNanos;
                }
                if (strictest == null || applied.isStricterThan(strictest)) {
                    strictest = applied;
                }
            }
            if (!unavailable.contains(entry.getKey())) {
                candidates.add(strictest);
            }
        }
        return candidates;
    }

    private record Source(IncarnationId owner, boolean zoneOnly) {}

    private record Applied(Verdict verdict, long expiryDeadlineNanos) {
        boolean isStricterThan(Applied other) {
            if (verdict.sharePercent() != other.verdict.sharePercent()) {
                return verdict.sharePercent() < other.verdict.sharePercent();
            }
            return verdict.severity() > other.verdict.severity();
        }
    }
}
