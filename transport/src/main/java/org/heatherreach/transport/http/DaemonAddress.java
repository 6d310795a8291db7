package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ZoneId;

/**
 * The address of a daemon for callers. Immutable and safe for use by any thread.
 *
 * @param daemon the id of the daemon
 * @param host the IP address
 * @param port the port for callers
 * @param zone the availability zone of the daemon
 */
public record DaemonAddress(DaemonId daemon, String host, int port, ZoneId zone) {
    /** Creates an address. */
    public DaemonAddress {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
    }
}
