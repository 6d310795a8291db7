package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ZoneId;

/**
 * Where callers reach a daemon. Immutable and safe for use by any thread.
 *
 * @param daemon the daemon
 * @param host its IP number
 * @param port its port for callers
 * @param zone its zone
 */
public record DaemonAddress(DaemonId daemon, String host, int port, ZoneId zone) {
    /** Creates an address. */
    public DaemonAddress {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
    }
}
