package org.heatherreach.daemon.site;

import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.state.id.ServiceId;

/**
 * The record of the requests that all daemons refuse because they crash servers. Implementations are safe for use by any
 * thread and must not block.
 */
interface RefusedRequests {
    /** Returns whether a request is recorded. */
    boolean contains(Fingerprint request);

    /**
     * Records a request.
     *
     * @param firstHand whether this daemon saw the crash that identified the request; others record it only if that
     *     daemon does not
     */
    void add(ServiceId service, Fingerprint request, boolean firstHand);

    /** Withdraws what this daemon has recorded, or is about to record, of a request that completed at a peer. */
    void cancel(Fingerprint request);

    /** Removes a request that completed normally. */
    void remove(Fingerprint request);
}
