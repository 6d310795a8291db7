package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;

/**
 * A simple implementation for comparison: the daemon ejects a server for a fixed time after some consecutive failures,
 * where a response later than a fixed timeout counts as a failure. It uses only its own evidence and does not apply the
 * floor. Confined to one duty thread.
 */
public final class NaiveHealth implements DaemonHealth {
    private static final int CONSECUTIVE_FAILURE_LIMIT = 5;
    private static final long EJECTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final long timeoutNanos;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Map<ServerId, Integer> consecutiveFailures = new HashMap<>();
    private final Map<ServerId, Long> ejectionDeadlinesNanos = new HashMap<>();
    private Set<ServerId> listed = Set.of();
    private Set<ServerId> unavailable = Set.of();
    private long lastExchangeId;

    /** Creates an instance for one daemon, without servers. */
    public NaiveHealth(long timeoutNanos) {
        this.timeoutNanos = timeoutNanos;
    }

    @Override
    public List<HealthAction> updateServers(
            Collection<ServerId> newListed, Set<ServerId> newUnavailable, long nowNanos) {
        listed = new HashSet<>(newListed);
        unavailable = Set.copyOf(newUnavailable);
        consecutiveFailures.keySet().retainAll(listed);
        ejectionDeadlinesNanos.keySet().retainAll(listed);
        return List.of();
    }

    @Override
    public long begin(ServerId server, long nowNanos) {
        exchanges.put(++lastExchangeId, new Exchange(server, nowNanos));
        return lastExchangeId;
    }

    @Override
    public void responseHeadReceived(long exchangeId, long nowNanos) {
        // Only the end of an exchange counts.
    }

    @Override
    public void responseBodyReceived(long exchangeId, long nowNanos) {
        // Only the end of an exchange counts.
    }

    @Override
    public List<HealthAction> complete(long exchangeId, long nowNanos) {
        Exchange endedExchange = exchanges.remove(exchangeId);
        if (endedExchange == null) {
            return List.of();
        }
        return countResult(endedExchange.server, nowNanos - endedExchange.beginNanos >= timeoutNanos, nowNanos);
    }

    @Override
    public List<HealthAction> fail(long exchangeId, ServerFailure kind, long nowNanos) {
        Exchange endedExchange = exchanges.remove(exchangeId);
        return endedExchange == null ? List.of() : countResult(endedExchange.server, true, nowNanos);
    }

    @Override
    public void cancel(long exchangeId, long nowNanos) {
        exchanges.remove(exchangeId);
    }

    @Override
    public Optional<HealthReport> collectReport(long nowNanos) {
        return Optional.empty();
    }

    @Override
    public List<HealthAction> apply(IncarnationId owner, VerdictList verdicts, long nowNanos) {
        return List.of();
    }

    @Override
    public List<HealthAction> tick(long nowNanos) {
        List<HealthAction> actions = new ArrayList<>();
        ejectionDeadlinesNanos.entrySet().removeIf(entry -> {
            boolean ejectionEnded = nowNanos - entry.getValue() >= 0;
            if (ejectionEnded) {
                actions.add(new HealthAction.ChangeShare(entry.getKey(), 0, 100, "ended"));
            }
            return ejectionEnded;
        });
        return actions;
    }

    @Override
    public int sharePercent(ServerId server, long nowNanos) {
        if (!listed.contains(server) || unavailable.contains(server)) {
            return 0;
        }
        Long deadlineNanos = ejectionDeadlinesNanos.get(server);
        return deadlineNanos != null && nowNanos - deadlineNanos < 0 ? 0 : 100;
    }

    private List<HealthAction> countResult(ServerId server, boolean failed, long nowNanos) {
        if (!failed) {
            consecutiveFailures.remove(server);
            return List.of();
        }
        if (consecutiveFailures.merge(server, 1, Integer::sum) < CONSECUTIVE_FAILURE_LIMIT
                || !listed.contains(server)) {
            return List.of();
        }
        consecutiveFailures.remove(server);
        ejectionDeadlinesNanos.put(server, nowNanos + EJECTION_NANOS);
        return List.of(new HealthAction.ChangeShare(server, 100, 0, "consecutive failures"));
    }

    private record Exchange(ServerId server, long beginNanos) {}
}
