package org.heatherreach.coordination.balance;

import java.util.Collection;

/** What the load of a server is measured by when a server is chosen and a wait is estimated. Stateless. */
public enum LoadMeasure {
    /** The number of requests in flight. */
    REQUESTS {
        @Override
        double loadCost(ServerLoad load, PoolRequest request, long nowNanos) {
            return (double) load.knownInFlight(nowNanos) / load.server().slots();
        }

        @Override
        double serviceNanos(PoolRequest request, double meanServiceNanos) {
            return meanServiceNanos;
        }

        @Override
        double workAheadNanos(Collection<PoolRequest> ahead, double meanServiceNanos) {
            return (ahead.size() + 1) * meanServiceNanos;
        }
    },
    /**
     * The expected time until the request would be complete: how long the slots are still taken, and how much longer the
     * request takes at a slow server.
     */
    EXPECTED_WORK {
        @Override
        double loadCost(ServerLoad load, PoolRequest request, long nowNanos) {
            double meanNanos = request.estimate().serviceMeanNanos();
            double ownNanos = request.estimate().meanNanos();
            double loadCost =
                    load.workLoadNanos(meanNanos, nowNanos) / load.server().slots() / meanNanos;
            return loadCost
                    + SHEDDING_COST * load.sheddingProbability(nowNanos)
                    + SLOWNESS_COST * Math.log(load.work().slowness(nowNanos)) * Math.max(1, ownNanos / meanNanos);
        }

        @Override
        double serviceNanos(PoolRequest request, double meanServiceNanos) {
            return request.estimate().meanNanos();
        }

        @Override
        double workAheadNanos(Collection<PoolRequest> ahead, double meanServiceNanos) {
            double sumNanos = meanServiceNanos;
            for (PoolRequest request : ahead) {
                sumNanos += request.estimate().meanNanos();
            }
            return sumNanos;
        }
    };

    /**
     * The cost of a server that turns every request away, in shares of a full server. One that turns every second one
     * away costs more than a full one, so that it is used when the others are full.
     */
    private static final double SHEDDING_COST = 3;

    /**
     * The cost of a server that is slower by a factor of e, in shares of a full server. The logarithm keeps the
     * differences between servers small while all of them are slow, as under overload: with the factor itself 88
     * of 44,371 reads were refused in bursts instead of 56 with {@link #REQUESTS} (trial).
     */
    private static final double SLOWNESS_COST = 2;

    /** Returns the cost of a server's load and speed for the request; a full server of usual speed costs 1. */
    abstract double loadCost(ServerLoad load, PoolRequest request, long nowNanos);

    /** Returns the time that a server is expected to need for the request. */
    abstract double serviceNanos(PoolRequest request, double meanServiceNanos);

    /** Returns the time that one slot would need for the requests that wait ahead and for the one that it runs. */
    abstract double workAheadNanos(Collection<PoolRequest> ahead, double meanServiceNanos);
}
