package org.heatherreach.coordination.slot;

import java.util.Objects;

import org.heatherreach.coordination.admission.RetryHint;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.outcome.RetryReason;

/**
 * The refusals of a pool, whose retry hints follow the mean time of service.
 *
 * <p>Invariant: a queued request that is refused for a reason that does not pass gets no retry hint. Confined to the
 * thread of its pool.
 */
final class SlotRefusals {
    private static final double SERVICE_TIME_SMOOTHING = 0.05;
    private static final double INITIAL_SERVICE_NANOS = 20e6;

    private final RetryHint retryHint;
    private double meanServiceNanos = INITIAL_SERVICE_NANOS;

    SlotRefusals(RetryHint retryHint) {
        this.retryHint = Objects.requireNonNull(retryHint, "retryHint");
    }

    /** Records how long a request that was completed took. */
    void recordService(long serviceNanos) {
        meanServiceNanos += SERVICE_TIME_SMOOTHING * (serviceNanos - meanServiceNanos);
    }

    /** Returns the smoothed mean time of service. */
    double meanServiceNanos() {
        return meanServiceNanos;
    }

    /** Refuses a request that expects to wait this long for a slot. */
    SlotAction refuse(RequestId request, RefusalReason reason, long expectedWaitNanos) {
        return new SlotAction.Refuse(request, reason, retryHint.randomDelayMillis(expectedWaitNanos));
    }

    /** Refuses a request that expects to wait for a slot as long as a request takes. */
    SlotAction refuse(RequestId request, RefusalReason reason) {
        return refuse(request, reason, (long) meanServiceNanos);
    }

    /** Refuses a request that is queued. */
    SlotAction refuseQueued(RequestId request, RefusalReason reason) {
        return reason.isTransient() ? refuse(request, reason) : new SlotAction.Refuse(request, reason, 0);
    }

    /** Returns the reason for the refusal of a request that can't be retried. */
    static RefusalReason reasonOf(RetryReason reason) {
        return switch (reason) {
            case CONNECT_FAILED -> RefusalReason.CONNECT_FAILED;
            case SERVER_SHED -> RefusalReason.SERVERS_SHED;
            case CONNECTION_LOST, INVALID_RESPONSE, SERVER_ERROR -> RefusalReason.SERVER_LOST;
            case SERVER_SLOW -> RefusalReason.SERVER_TIMEOUT;
        };
    }
}
