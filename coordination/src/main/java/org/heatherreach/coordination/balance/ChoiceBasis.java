package org.heatherreach.coordination.balance;

import java.util.Objects;

import io.vavr.control.Option;

/**
 * The load of a server and the suspicion against it when it was selected for a request. Immutable and safe for use by
 * any thread.
 *
 * @param inFlight the requests in flight at the server, from this daemon and from the peers that reported theirs
 * @param slots the number of requests that the server runs at a time
 * @param suspicion the weight of the server's failures in the last seconds; a single error that has just occurred
 *     weighs 1
 * @param work the expected work, if loads are measured by it
 * @param order how the request was dispatched in relation to the others that waited
 */
public record ChoiceBasis(int inFlight, int slots, double suspicion, Option<WorkBasis> work, DispatchOrder order) {
    /** Creates a basis. */
    public ChoiceBasis {
        Objects.requireNonNull(order, "order");
        Objects.requireNonNull(work, "work");
    }

    /** Creates a basis of a request that was dispatched in the usual order. */
    public ChoiceBasis(int inFlight, int slots, double suspicion, Option<WorkBasis> work) {
        this(inFlight, slots, suspicion, work, DispatchOrder.USUAL);
    }

    /** Returns the basis of the choice of a server for a request that has not begun there. */
    static ChoiceBasis of(PoolRequest request, ServerLoad load, PoolPolicy policy, DispatchOrder order, long nowNanos) {
        return new ChoiceBasis(
                load.knownInFlight(nowNanos),
                load.server().slots(),
                load.suspicion(nowNanos),
                policy.measuresWork() ? Option.some(WorkBasis.of(request, load, nowNanos)) : Option.none(),
                order);
    }

    /** Creates a basis without the expected work. */
    public ChoiceBasis(int inFlight, int slots, double suspicion) {
        this(inFlight, slots, suspicion, Option.none());
    }
}
