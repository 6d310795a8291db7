package org.heatherreach.daemon.fleet;

import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.ServiceId;

/** Listens to changes of the listed servers. Implementations pass them to their own ring. */
@FunctionalInterface
public interface ServerListener {
    /** Called with the servers of every service; a missing service has no servers. */
    void onServersChanged(Map<ServiceId, List<ListedServer>> servers);
}
