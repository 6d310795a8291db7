package org.heatherreach.daemon.fleet;

import java.util.Map;

import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/** Learns what the health duty decides. Called on the health duty, so implementations hand over to their own ring. */
public interface HealthListener {
    /**
     * Takes the shares of the servers of a service, which replace all earlier ones.
     *
     * @param service the service
     * @param sharePercents the shares of those servers that may not get all of their usual traffic
     */
    void changeShares(ServiceId service, Map<ServerId, Integer> sharePercents);

    /** Takes an update of the suspects of a service. Updates are passed on in the order in which they were applied. */
    void changeSuspects(SuspectUpdate update);
}
