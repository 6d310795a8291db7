package org.heatherreach.coordination.balance;

import java.util.Objects;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * A server that may run requests. Immutable and safe for use by any thread.
 *
 * @param id the server's id
 * @param incarnation identifies one start of the server, so that evidence from an earlier start is dropped
 * @param zone the server's availability zone
 * @param slots the number of requests that the server runs at a time
 * @param warmUntilNanos when the server is expected to reach full speed, on the monotonic clock
 */
public record PoolServer(ServerId id, long incarnation, ZoneId zone, int slots, long warmUntilNanos) {
    /**
     * Creates a server.
     *
     * @throws IllegalArgumentException if the server has no slot
     */
    public PoolServer {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        if (slots < 1) {
            throw new IllegalArgumentException("server " + id + " has no slot");
        }
    }
}
