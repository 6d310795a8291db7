package org.heatherreach.coordination.balance;

/** How the failures of a server count when a server is chosen. Stateless. */
public enum FailureMeasure {
    /**
     * A failure counts for some seconds, until a success. Only idempotent requests, and any request that has waited for
     * another server, test a server that failed. A service that gets few idempotent requests leaves its servers unused
     * after a failure for as long as the others have room.
     */
    RECENT_FAILURES {
        @Override
        boolean isTrialDue(ServerLoad load, long nowNanos) {
            return false;
        }

        @Override
        double errorCost(ServerLoad load, PoolRequest request, long nowNanos) {
            return 0;
        }
    },
    /**
     * A server also costs by its learned error rate, so that one that fails a part of its requests gets few while others
     * have room. Any request may test a server that failed or had no request for a while, so that each server is used
     * and its error rate is kept up to date.
     */
    ERROR_RATE {
        @Override
        boolean isTrialDue(ServerLoad load, long nowNanos) {
            return load.isTrialDue(nowNanos);
        }

        @Override
        double errorCost(ServerLoad load, PoolRequest request, long nowNanos) {
            return (request.idempotent() ? IDEMPOTENT_ERROR_COST : ERROR_COST) * load.errorProbability(nowNanos);
        }
    };

    /**
     * The cost of a server that fails every request, in shares of a full server. A server that fails every fourth
     * request costs as much as the difference between a slot of this daemon's own and a full server.
     */
    private static final double ERROR_COST = 8;
    /** An error of an idempotent request costs a retry and not the request. */
    private static final double IDEMPOTENT_ERROR_COST = 2;

    /** Returns whether any request may test the server, which has no request. */
    abstract boolean isTrialDue(ServerLoad load, long nowNanos);

    /** Returns the cost of the expected error of a request at the server. */
    abstract double errorCost(ServerLoad load, PoolRequest request, long nowNanos);
}
