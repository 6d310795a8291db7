package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * A backend server and its address. Immutable and safe for use by any thread.
 *
 * @param id the id of the server
 * @param address the IP address and port; no host name, so that none is resolved in the request path
 * @param zone the availability zone of the server
 */
public record BackendServer(ServerId id, InetSocketAddress address, ZoneId zone) {
    /** Creates a server. */
    public BackendServer {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
    }
}
