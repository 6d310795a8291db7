package org.heatherreach.coordination.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * Selects the server with the lowest cost for a request. Costs are measured in shares of a server's slots: a full
 * server costs 1. Confined to one duty thread.
 */
final class ServerSelector {
    /** The cost of a large answer that crosses zones, in shares of a full server. */
    private static final double CROSS_ZONE_LARGE_ANSWER_COST = 2.5;
    /** Makes a server of the local zone win against an equally loaded server of another zone. */
    private static final double CROSS_ZONE_COST = 0.3;

    /** Makes a free slot of this daemon's share win against any slot that another daemon may be about to use. */
    private static final double OWN_SLOT_BONUS = 1;

    private static final double COLD_SERVER_COST = 0.6;
    /**
     * The cost of a server without a recent answer. The first attempt of an idempotent request gets a bonus of the same
     * size instead, so that a server that begins to fail is mostly detected by a request that can be repeated.
     */
    private static final double NO_RECENT_ANSWER_COST = 0.35;

    private static final double HALF_OPEN_COST = 3;
    /** Keeps requests from a server that leaves according to a peer, unless the other servers are full. */
    private static final double LEAVING_HINT_COST = 3;
    /**
     * Attracts one request, which tests whether a half-open server works again before others are sent to it.
     */
    private static final double TRIAL_REQUEST_BONUS = 0.5;

    /**
     * Attracts any request once the test of a server is due, even one for which this daemon has a slot of its own at
     * another server. Few daemons have a slot at a given server. The daemons of other zones leave the tests to those of the
     * server's zone, so that a server that still fails costs few requests.
     */
    private static final double DUE_TRIAL_BONUS = 2;

    private static final double SUSPICION_COST = 2;
    /** At least this share of the servers is used, the least suspected first, since fewer could not carry the load. */
    private static final double MIN_USABLE_SHARE = 0.5;
    /** How long a request that must not run twice waits for another server instead of using a half-open one. */
    private static final long HALF_OPEN_WAIT_NANOS = 300_000_000L;
    /**
     * The share of its time limit that a request with a large answer waits for a server of the local zone, since an
     * answer from another zone costs more than the delay.
     */
    private static final double CROSS_ZONE_WAIT_SHARE = 0.25;
    /** Requests do not wait for a local server at or above this suspicion, which three errors within seconds reach. */
    private static final double LOCAL_ZONE_SUSPICION_LIMIT = 2.5;

    private static final double TRIED_COST = 100;
    /** The limit of a random cost that spreads the selections of daemons that see the same loads. */
    static final double MAX_RANDOM_COST = 0.2;

    private final ZoneId zone;
    private final PoolPolicy policy;
    private final RandomGenerator random;
    private FailureMeasure failures = FailureMeasure.RECENT_FAILURES;

    ServerSelector(ZoneId zone, PoolPolicy policy, RandomGenerator random) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Sets how the failures of servers count. */
    void setFailureMeasure(FailureMeasure measureOfFailures) {
        failures = measureOfFailures;
    }

    /** Returns the server with the lowest cost that has room for the request, or null if the request has to wait. */
    ServerLoad choose(Collection<ServerLoad> servers, PoolRequest request, long nowNanos) {
        SelectionContext context = contextOf(servers, nowNanos);
        ServerLoad best = null;
        double bestCost = 0;
        for (ServerLoad load : servers) {
            if (load.isFull(nowNanos) || isExcluded(load, request, context, nowNanos)) {
                continue;
            }
            double cost = cost(load, request, nowNanos) + random.nextDouble() * MAX_RANDOM_COST;
            if (best == null || cost < bestCost) {
                best = load;
                bestCost = cost;
            }
        }
        return best;
    }

    private SelectionContext contextOf(Collection<ServerLoad> servers, long nowNanos) {
        int usableCount = 0;
        boolean localZoneUsable = false;
        List<Double> avoidedSuspicions = new ArrayList<>();
        for (ServerLoad load : servers) {
            if (load.isQuiet(nowNanos)) {
                continue;
            }
            if (load.isAvoided(nowNanos)) {
                avoidedSuspicions.add(load.suspicion(nowNanos));
            } else {
                usableCount++;
            }
            localZoneUsable |= isInLocalZone(load) && load.suspicion(nowNanos) < LOCAL_ZONE_SUSPICION_LIMIT;
        }
        int minUsableCount = (int) Math.ceil(servers.size() * MIN_USABLE_SHARE);
        int missingCount = Math.min(minUsableCount - usableCount, avoidedSuspicions.size());
        if (missingCount <= 0) {
            return new SelectionContext(-1, localZoneUsable);
        }
        avoidedSuspicions.sort(Comparator.naturalOrder());
        return new SelectionContext(avoidedSuspicions.get(missingCount - 1), localZoneUsable);
    }

    /**
     * Returns whether the request must not be sent to the server at this time, so that it uses another one or waits.
     */
    private boolean isExcluded(ServerLoad load, PoolRequest request, SelectionContext context, long nowNanos) {
        long waitedNanos = nowNanos - request.submittedNanos();
        if (load.isAvoided(nowNanos)) {
            return load.suspicion(nowNanos) > context.suspicionLimit;
        }
        if (load.isHalfOpen(nowNanos) && !mayTest(load, request, nowNanos) && waitedNanos < HALF_OPEN_WAIT_NANOS) {
            return true;
        }
        double limitNanos = CROSS_ZONE_WAIT_SHARE * (request.deadlineNanos() - request.submittedNanos());
        return request.largeAnswer() && !isInLocalZone(load) && context.localZoneUsable && waitedNanos < limitNanos;
    }

    /** Returns whether the request may test whether a half-open server works again. */
    private boolean mayTest(ServerLoad load, PoolRequest request, long nowNanos) {
        return request.idempotent() || isTrialDue(load, nowNanos);
    }

    /** Returns whether any request of this daemon may test the server; only daemons of its zone do so. */
    private boolean isTrialDue(ServerLoad load, long nowNanos) {
        return isInLocalZone(load) && failures.isTrialDue(load, nowNanos);
    }

    private boolean isInLocalZone(ServerLoad load) {
        return load.server().zone().equals(zone);
    }

    /** Returns the cost of each server by its parts, the cheapest usable server first. */
    List<ServerCost> explain(Collection<ServerLoad> servers, PoolRequest request, long nowNanos) {
        SelectionContext context = contextOf(servers, nowNanos);
        return servers.stream()
                .map(load -> new ServerCost(
                        load.server().id(),
                        !load.isFull(nowNanos) && !isExcluded(load, request, context, nowNanos),
                        policy.loadCost(load, request, nowNanos),
                        ownSlotCost(load, nowNanos),
                        zoneCost(load, request),
                        coldCost(load, nowNanos),
                        answerCost(load, request, nowNanos),
                        leavingCost(load, nowNanos),
                        suspicionCost(load, request, nowNanos),
                        triedCost(load, request)))
                .sorted(Comparator.comparing(ServerCost::usable).reversed().thenComparingDouble(ServerCost::total))
                .toList();
    }

    /**
     * Returns the servers that may be chosen according to their explained costs: the random part of the cost can
     * outweigh the difference from the cheapest one.
     */
    static List<ServerId> candidates(List<ServerCost> costs) {
        return costs.stream()
                .filter(ServerCost::usable)
                .filter(cost -> cost.total() - costs.get(0).total() < MAX_RANDOM_COST)
                .map(ServerCost::server)
                .toList();
    }

    private double cost(ServerLoad load, PoolRequest request, long nowNanos) {
        return policy.loadCost(load, request, nowNanos)
                + ownSlotCost(load, nowNanos)
                + zoneCost(load, request)
                + coldCost(load, nowNanos)
                + answerCost(load, request, nowNanos)
                + leavingCost(load, nowNanos)
                + suspicionCost(load, request, nowNanos)
                + triedCost(load, request);
    }

    private static double ownSlotCost(ServerLoad load, long nowNanos) {
        return load.hasOwnSlotFree() && load.isWarm(nowNanos) ? -OWN_SLOT_BONUS : 0;
    }

    private double zoneCost(ServerLoad load, PoolRequest request) {
        if (isInLocalZone(load)) {
            return 0;
        }
        return request.largeAnswer() ? CROSS_ZONE_LARGE_ANSWER_COST : CROSS_ZONE_COST;
    }

    private static double coldCost(ServerLoad load, long nowNanos) {
        return load.isWarm(nowNanos) ? 0 : COLD_SERVER_COST;
    }

    private static double answerCost(ServerLoad load, PoolRequest request, long nowNanos) {
        if (load.hasRecentAnswer(nowNanos)) {
            return 0;
        }
        return request.idempotent() && request.tried().isEmpty() ? -NO_RECENT_ANSWER_COST : NO_RECENT_ANSWER_COST;
    }

    private static double leavingCost(ServerLoad load, long nowNanos) {
        return load.isLeavingByHint(nowNanos) ? LEAVING_HINT_COST : 0;
    }

    private double suspicionCost(ServerLoad load, PoolRequest request, long nowNanos) {
        boolean halfOpen = load.isHalfOpen(nowNanos);
        boolean unused = request.tried().isEmpty() && load.knownInFlight(nowNanos) == 0;
        if (unused && isTrialDue(load, nowNanos)) {
            return -DUE_TRIAL_BONUS;
        }
        if (unused && halfOpen && request.idempotent()) {
            return -TRIAL_REQUEST_BONUS;
        }
        return SUSPICION_COST * load.suspicion(nowNanos)
                + (halfOpen ? HALF_OPEN_COST : 0)
                + failures.errorCost(load, request, nowNanos);
    }

    private static double triedCost(ServerLoad load, PoolRequest request) {
        return request.tried().contains(load.server().id()) ? TRIED_COST : 0;
    }

    /**
     * The properties of the whole set of servers that one selection depends on.
     *
     * @param suspicionLimit avoided servers up to this suspicion are used nevertheless; negative if none are
     * @param localZoneUsable whether a server of the local zone works or may soon work again
     */
    private record SelectionContext(double suspicionLimit, boolean localZoneUsable) {}
}
