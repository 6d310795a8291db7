package org.heatherreach.daemon.fleet;

import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.ServiceId;

/** Learns of changes of the listed servers. Implementations hand over to their own ring. */
@FunctionalInterface
public interface ServerListener {
    /** Takes the servers of every service; a service that is missing has none. */
    void changeServers(Map<ServiceId, List<ListedServer>> servers);
}
