package org.heatherreach.coordination.balance;

/**
 * The expected work on which the choice of a server was based. Immutable and safe for use by any thread.
 *
 * @param expectedNanos the time that the request is expected to take at the server
 * @param leftNanos the time that the server was expected to need for the requests that it already had
 * @param slowness the factor by which requests take longer at the server
 * @param stallNanos after which silence the request counts as stalled; 0 if too little is known
 */
public record WorkBasis(long expectedNanos, long leftNanos, double slowness, long stallNanos) {
    /** Returns the basis of the choice of a server for a request that has not begun there. */
    static WorkBasis of(PoolRequest request, ServerLoad load, long nowNanos) {
        double slowness = load.work().slowness(nowNanos);
        return new WorkBasis(
                (long) (request.estimate().meanNanos() * slowness),
                (long) load.workLeftNanos(request.estimate().serviceMeanNanos(), nowNanos),
                slowness,
                request.estimate().stallNanos());
    }
}
