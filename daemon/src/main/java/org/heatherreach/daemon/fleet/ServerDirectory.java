package org.heatherreach.daemon.fleet;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;

import org.heatherreach.state.id.ServiceId;

/**
 * The current servers of every service, shared by all duties.
 *
 * <p>Invariant: listeners receive the lists in the order in which they were published.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public final class ServerDirectory {
    private final List<ServerListener> listeners = new CopyOnWriteArrayList<>();
    private volatile Map<ServiceId, List<ListedServer>> servers = Map.of();

    /** Returns the servers of every service. */
    public Map<ServiceId, List<ListedServer>> servers() {
        return servers;
    }

    /** Adds a listener and notifies it of the current lists at once. */
    public synchronized void addListener(ServerListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
        listener.onServersChanged(servers);
    }

    /** Replaces the lists; listeners are notified only if they changed. */
    public synchronized void publish(Map<ServiceId, List<ListedServer>> newServers) {
        if (!newServers.equals(servers)) {
            servers = Map.copyOf(newServers);
            listeners.forEach(listener -> listener.onServersChanged(servers));
        }
    }
}
