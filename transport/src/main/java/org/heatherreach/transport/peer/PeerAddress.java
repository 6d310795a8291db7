package org.heatherreach.transport.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.heatherreach.state.id.IncarnationId;

/**
 * The address of one process of a peer daemon. Immutable and safe for use by any thread.
 *
 * @param incarnation the incarnation of the process; a later process at the same host and port is a different peer
 * @param host the IP address
 * @param port the port for frames over TCP and packets over UDP
 */
public record PeerAddress(IncarnationId incarnation, String host, int port) {
    /**
     * Creates an address.
     *
     * @throws IllegalArgumentException if the port is out of range
     */
    public PeerAddress {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(host, "host");
        if (port < 1 || port > 65535) {
            throw new IllegalArgumentException("port must lie in 1 to 65535, but is " + port);
        }
    }

    InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }
}
