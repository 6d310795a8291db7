package org.heatherreach.daemon.fleet;

import java.util.Objects;

import org.heatherreach.transport.http.BackendServer;

/**
 * A backend server as listed in the VM list or the settings. Immutable and safe for use by any thread.
 *
 * @param server the server
 * @param leaving whether the server must receive no new work
 */
public record ListedServer(BackendServer server, boolean leaving) {
    /** Creates an entry. */
    public ListedServer {
        Objects.requireNonNull(server, "server");
    }
}
