package org.heatherreach.coordination.balance;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.outcome.RefusalReason;

/** An action that a {@link ServerPool} requests from its caller. Implementations are immutable. */
public sealed interface PoolAction {
    /**
     * Sends the request to the server.
     *
     * @param ticket the ticket of the request
     * @param server the server
     * @param basis the load and the suspicion on which the selection was based
     */
    record Dispatch(long ticket, ServerId server, ChoiceBasis basis) implements PoolAction {}

    /**
     * Refuses the request, which has not run.
     *
     * @param ticket the ticket of the request
     * @param reason the reason
     * @param retryAfterMillis the time after which a retry may succeed
     */
    record Refuse(long ticket, RefusalReason reason, long retryAfterMillis) implements PoolAction {}

    /**
     * Reports to the peers that a server failed a request, or that a suspected server works again.
     *
     * @param server the server
     * @param incarnation the incarnation of the server
     * @param result how the request ended
     */
    record Report(ServerId server, long incarnation, PoolResult result) implements PoolAction {}
}
