package org.heatherreach.daemon.site;

import java.util.Objects;

import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.BackendServer;

/**
 * The registration of a backend server. Immutable and safe for use by any thread.
 *
 * @param server the server and its address
 * @param service the service that it provides
 * @param incarnation the start of the server; each start has another one
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it accepts no new requests
 * @param warmUpMillis the remaining time of its cold start when it registered
 */
public record SiteServer(
        BackendServer server, ServiceId service, long incarnation, int slots, boolean leaving, long warmUpMillis) {
    public SiteServer {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(service, "service");
    }

    /** Returns whether another registration is equal apart from the remaining warm-up time, which changes by itself. */
    boolean equalsIgnoringWarmUp(SiteServer other) {
        return other != null
                && server.equals(other.server)
                && service.equals(other.service)
                && incarnation == other.incarnation
                && slots == other.slots
                && leaving == other.leaving;
    }
}
