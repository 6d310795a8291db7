package org.heatherreach.daemon.fleet;

import java.util.Objects;

import org.heatherreach.transport.http.BackendServer;

/**
 * A backend server as the VM list or the settings name it. Immutable and safe for use by any thread.
 *
 * @param server the server
 * @param leaving whether it is to receive no new work
 */
public record ListedServer(BackendServer server, boolean leaving) {
    /** Creates an entry. */
    public ListedServer {
        Objects.requireNonNull(server, "server");
    }
}
