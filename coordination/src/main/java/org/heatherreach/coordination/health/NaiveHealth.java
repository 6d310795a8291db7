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
 * The naive version, for comparison: the daemon alone ejects a server for a fixed time after some consecutive failures,
 * where an answer later than a fixed timeout is a failure. It shares nothing and knows no floor.
 * Confined to one duty thread.
 */
public final class NaiveHealth implements DaemonHealth {
    private static final int CONSECUTIVE_FAILURES = 5;
    private static final long EJECTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final long timeoutNanos;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Map<ServerId, Integer> failuresInRow = new HashMap<>();
    private final Map<ServerId, Long> ejectionDeadlines = new HashMap<>();
    private Set<ServerId> listed = Set.of();
    private Set<ServerId> unavailable = Set.of();
    private long lastExchange;

    /** Creates the decisions of one daemon, without servers. */
    public NaiveHealth(long timeoutNanos) {
        this.timeoutNanos = timeoutNanos;
    }

    @Override
    public List<HealthAction> updateServers(
            Collection<ServerId> newListed, Set<ServerId> newUnavailable, long nowNanos) {
        listed = new HashSet<>(newListed);
        unavailable = Set.copyOf(newUnavailable);
        failuresInRow.keySet().retainAll(listed);
        ejectionDeadlines.keySet().retainAll(listed);
        return List.of();
    }

    @Override
    public long begin(ServerId server, long nowNanos) {
        exchanges.put(++lastExchange, new Exchange(server, nowNanos));
        return lastExchange;
    }

    @Override
    public void answer(long exchange, long nowNanos) {
        // Only the end of an exchange counts in the naive version.
    }

    @Override
    public void progress(long exchange, long nowNanos) {
        // Only the end of an exchange counts in the naive version.
    }

    @Override
    public List<HealthAction> complete(long exchange, long nowNanos) {
        Exchange ended = exchanges.remove(exchange);
        if (ended == null) {
            return List.of();
        }
        return count(ended.server, nowNanos - ended.beginNanos >= timeoutNanos, nowNanos);
    }

    @Override
    public List<HealthAction> fail(long exchange, ServerFailure kind, long nowNanos) {
        Exchange ended = exchanges.remove(exchange);
        return ended == null ? List.of() : count(ended.server, true, nowNanos);
    }

    @Override
    public void cancel(long exchange, long nowNanos) {
        exchanges.remove(exchange);
    }

    @Override
    public Optional<HealthReport> report(long nowNanos) {
        return Optional.empty();
    }

    @Override
    public List<HealthAction> apply(IncarnationId owner, VerdictList verdicts, long nowNanos) {
        return List.of();
    }

    @Override
    public List<HealthAction> tick(long nowNanos) {
        List<HealthAction> actions = new ArrayList<>();
        ejectionDeadlines.entrySet().removeIf(entry -> {
            boolean ended = nowNanos - entry.getValue() >= 0;
            if (ended) {
                actions.add(new HealthAction.ChangeShare(entry.getKey(), 0, 100, "ended"));
            }
            return ended;
        });
        return actions;
    }

    @Override
    public int sharePercent(ServerId server, long nowNanos) {
        if (!listed.contains(server) || unavailable.contains(server)) {
            return 0;
        }
        Long deadline = ejectionDeadlines.get(server);
        return deadline != null && nowNanos - deadline < 0 ? 0 : 100;
    }

    private List<HealthAction> count(ServerId server, boolean failed, long nowNanos) {
        if (!failed) {
            failuresInRow.remove(server);
            return List.of();
        }
        if (failuresInRow.merge(server, 1, Integer::sum) < CONSECUTIVE_FAILURES || !listed.contains(server)) {
            return List.of();
        }
        failuresInRow.remove(server);
        ejectionDeadlines.put(server, nowNanos + EJECTION_NANOS);
        return List.of(new HealthAction.ChangeShare(server, 100, 0, "consecutive failures"));
    }

    private record Exchange(ServerId server, long beginNanos) {}
}
