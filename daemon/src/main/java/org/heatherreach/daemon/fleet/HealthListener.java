package org.heatherreach.daemon.fleet;

import java.util.Map;

import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * Listens to decisions of the health duty. Called on the health duty, so implementations pass them to their own ring.
 */
public interface HealthListener {
    /**
     * Called with the traffic shares of the servers of a service, which replace all earlier ones.
     *
     * @param service the service
     * @param sharePercents the shares of the servers that may get only a part of their usual traffic
     */
    void onSharesChanged(ServiceId service, Map<ServerId, Integer> sharePercents);

    /** Called with an update of the suspects of a service, in the order in which the updates were applied. */
    void onSuspectsChanged(SuspectUpdate update);
}
