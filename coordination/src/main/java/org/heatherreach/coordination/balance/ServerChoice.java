package org.heatherreach.coordination.balance;

import java.util.Collection;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ZoneId;

/**
 * Chooses the server with the least cost for a request. The cost counts shares of the server's slots: 1 stands for a full
 * server. Confined to one duty thread.
 */
final class ServerChoice {
    /** The price of sending a large answer to another zone, in shares of a full server. */
    private static final double FAR_LARGE_COST = 2.5;
    /** Near servers win between equally loaded ones. */
    private static final double FAR_COST = 0.3;

    private static final double COLD_COST = 0.6;
    private static final double TRIAL_COST = 3;
    /** An idempotent request finds out whether a server works again before others are sent there. */
    private static final double TRIAL_GAIN = 0.5;

    private static final double AVOIDED_COST = 6;
    private static final double FAILURE_COST = 2;
    private static final double TRIED_COST = 100;
    /** Spreads the choices of daemons that see the same loads. */
    private static final double RANDOM_COST = 0.2;

    private final ZoneId zone;
    private final RandomGenerator random;

    ServerChoice(ZoneId zone, RandomGenerator random) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Returns the best server that has room; null if none has. */
    ServerLoad choose(Collection<ServerLoad> servers, PoolRequest request, long nowNanos) {
        ServerLoad best = null;
        double bestCost = 0;
        for (ServerLoad load : servers) {
            if (load.isFull(nowNanos)) {
                continue;
            }
            double cost = cost(load, request, nowNanos) + random.nextDouble() * RANDOM_COST;
            if (best == null || cost < bestCost) {
                best = load;
                bestCost = cost;
            }
        }
        return best;
    }

    private double cost(ServerLoad load, PoolRequest request, long nowNanos) {
        double used = (double) load.knownInFlight(nowNanos) / load.server().slots();
        double cost = used;
        if (!load.server().zone().equals(zone)) {
            cost += request.largeAnswer() ? FAR_LARGE_COST : FAR_COST;
        }
        if (!load.isWarm(nowNanos)) {
            cost += COLD_COST;
        }
        if (load.isAvoided(nowNanos)) {
            cost += AVOIDED_COST + FAILURE_COST * Math.min(5, load.suspicion(nowNanos));
        } else if (load.isOnTrial(nowNanos)) {
            boolean probes = request.idempotent()
                    && load.inFlight() == 0
                    && request.tried().isEmpty();
            cost += probes ? -TRIAL_GAIN : TRIAL_COST;
        }
        if (request.tried().contains(load.server().id())) {
            cost += TRIED_COST;
        }
        return cost;
    }
}
