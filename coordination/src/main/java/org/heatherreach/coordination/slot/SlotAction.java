package org.heatherreach.coordination.slot;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.outcome.RefusalReason;

/** An instruction of a {@link SlotPool} to its caller. Immutable and safe for use by any thread. */
public sealed interface SlotAction {
    /**
     * Send a request to a server.
     *
     * @param request the request
     * @param server the server whose slot it occupies until it is completed, cancelled or retried
     * @param queuedNanos the time from submission to this dispatch; zero if a slot was free on submission
     */
    record Dispatch(RequestId request, ServerId server, long queuedNanos) implements SlotAction {}

    /**
     * Refuse a request. Whether it may have run on a server follows from the reason.
     *
     * @param request the request, which the pool no longer tracks
     * @param reason the reason
     * @param retryAfterMillis the time after which the caller should retry, with jitter; zero if a retry is of no use
     */
    record Refuse(RequestId request, RefusalReason reason, long retryAfterMillis) implements SlotAction {}

    /**
     * Send a report to the owner of the service part.
     *
     * @param owner the owner
     * @param report the report
     */
    record SendReport(IncarnationId owner, SlotReport report) implements SlotAction {}
}
