package org.heatherreach.transport.http;

import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/** Looks up routes and limits in the table that is in force. Implementations are safe for use by any thread. */
public interface ServiceCatalog {
    /** Returns the service of the longest route that is a prefix of the path. */
    Option<ServiceId> route(String path);

    /** Returns the limits of a service; empty if the table doesn't have it. */
    Option<ServiceLimits> serviceLimits(ServiceId service);

    /** Returns the limits of a rank at a service; defaults if the table has no row for it. */
    RankLimits rankLimits(ServiceId service, Rank rank);

    /** Returns how many repeats of a service's requests are allowed in a window whatever their share. */
    default int retrySlack(ServiceId service) {
        return 0;
    }

    /** Returns the requests and repeats of the daemons that share the retry budget with this one. */
    default RetryUsage peerRetries(ServiceId service) {
        return RetryUsage.NONE;
    }
}
