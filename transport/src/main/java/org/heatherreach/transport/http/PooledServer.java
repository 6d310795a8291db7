package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.coordination.balance.PoolServer;

/**
 * A server with the properties that its pool needs. Immutable and safe for use by any thread.
 *
 * @param server the server and its address
 * @param incarnation the incarnation of the server, which changes with each of its starts
 * @param slots the number of requests that the server runs at a time
 * @param warmUntilNanos when the server is expected to reach its full speed, on the clock of {@link System#nanoTime}
 */
public record PooledServer(BackendServer server, long incarnation, int slots, long warmUntilNanos) {
    /** Creates a server. */
    public PooledServer {
        Objects.requireNonNull(server, "server");
    }

    PoolServer toPoolServer() {
        return new PoolServer(server.id(), incarnation, server.zone(), slots, warmUntilNanos);
    }
}
