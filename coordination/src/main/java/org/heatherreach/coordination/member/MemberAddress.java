package org.heatherreach.coordination.member;

import java.util.Objects;

/**
 * The address at which a daemon receives datagrams and frames of its peers.
 * Immutable and safe for use by any thread.
 *
 * @param host the IP address
 * @param port the peer port
 */
public record MemberAddress(String host, int port) {
    /**
     * Creates an address.
     *
     * @throws IllegalArgumentException if the host is blank or the port lies outside 1 to 65,535
     */
    public MemberAddress {
        Objects.requireNonNull(host, "host");
        if (host.isBlank()) {
            throw new IllegalArgumentException("host must not be blank");
        }
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port must lie in 1 to 65535");
        }
    }

    /** Returns the form {@code host:port}. */
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
