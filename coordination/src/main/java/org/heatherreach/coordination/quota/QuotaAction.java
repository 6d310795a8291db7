package org.heatherreach.coordination.quota;

import java.util.List;

/** What a {@link QuotaPool} wants done. Implementations are immutable. */
public sealed interface QuotaAction {
    /**
     * A request may be sent to a server.
     *
     * @param ticket the ticket of the request
     */
    record Admit(long ticket) implements QuotaAction {}

    /**
     * A request is refused.
     *
     * @param ticket the ticket of the request
     * @param retryAfterMillis after how many milliseconds a credit is expected
     * @param reason why
     */
    record Refuse(long ticket, long retryAfterMillis, QuotaRefusal reason) implements QuotaAction {}

    /**
     * Requests go to the owner of a partition in one datagram.
     *
     * @param partition the partition
     * @param requests at most one request for each workspace
     */
    record Ask(int partition, List<QuotaRequest> requests) implements QuotaAction {
        /** Creates an action. */
        public Ask {
            requests = List.copyOf(requests);
        }
    }
}
