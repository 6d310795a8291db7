package org.heatherreach.coordination.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.ServerId;

/**
 * Detects the crash of a server from the connections of one daemon: all of them break within a short time, and at least
 * one of them has a request in flight. Confined to one duty thread.
 */
public final class CrashDetector {
    /** The time within which all connections of a crashing server break. */
    public static final long BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<ServerId, Connections> connectionsByServer = new HashMap<>();

    /** Creates a detector without connections. */
    public CrashDetector() {}

    /** Records that a connection was opened. */
    public void connectionOpened(ServerId server) {
        connectionsByServer.computeIfAbsent(server, key -> new Connections()).openCount++;
    }

    /** Records that this daemon or the server closed a connection in the regular way. */
    public void connectionClosed(ServerId server) {
        Connections connections = connectionsByServer.get(server);
        if (connections != null) {
            connections.openCount--;
            removeIfUnused(server, connections);
        }
    }

    /**
     * Records that a connection broke.
     *
     * @param inFlight the request that was in flight on the connection
     * @return the requests in flight on the connections that broke together, if this was the last open one to the
     *     server; otherwise empty
     */
    public List<Fingerprint> connectionBroken(ServerId server, Optional<Fingerprint> inFlight, long nowNanos) {
        Objects.requireNonNull(inFlight, "inFlight");
        Connections connections = connectionsByServer.get(server);
        if (connections == null) {
            return List.of();
        }
        if (!connections.inBurst || nowNanos - connections.burstStartNanos > BURST_NANOS) {
            connections.burstRequests.clear();
            connections.inBurst = true;
            connections.burstStartNanos = nowNanos;
        }
        connections.openCount--;
        inFlight.ifPresent(connections.burstRequests::add);
        if (connections.openCount > 0) {
            return List.of();
        }
        List<Fingerprint> requests = new ArrayList<>(connections.burstRequests);
        connectionsByServer.remove(server);
        return requests;
    }

    private void removeIfUnused(ServerId server, Connections connections) {
        if (connections.openCount <= 0) {
            connectionsByServer.remove(server);
        }
    }

    private static final class Connections {
        /** The requests in flight on the connections that broke in the current burst. */
        private final Set<Fingerprint> burstRequests = new LinkedHashSet<>();

        private int openCount;
        private boolean inBurst;
        private long burstStartNanos;
    }
}
