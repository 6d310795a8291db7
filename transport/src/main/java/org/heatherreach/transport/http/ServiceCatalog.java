package org.heatherreach.transport.http;

import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/** Looks up routes and limits in the current table. Implementations are safe for use by any thread. */
public interface ServiceCatalog {
    /** Returns the service of the longest route that is a prefix of the path. */
    Option<ServiceId> route(String path);

    /** Returns the limits of a service; empty if the table doesn't contain it. */
    Option<ServiceLimits> serviceLimits(ServiceId service);

    /** Returns the limits of a rank at a service; defaults if the table has no row for it. */
    RankLimits rankLimits(ServiceId service, Rank rank);

    /** Returns how many retries of a service are allowed in a window regardless of their share of the requests. */
    default int retrySlack(ServiceId service) {
        return 0;
    }

    /** Returns whether a retry leaves the budget to more urgent requests that are likely to need it. */
    default boolean retriesByUrgency() {
        return false;
    }

    /** Returns the requests and retries of the other daemons that share the retry budget with this one. */
    default RetryUsage peerRetries(ServiceId service) {
        return RetryUsage.NONE;
    }
}
