package org.heatherreach.coordination.poison;

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
 * Recognises the crash of a server in one daemon: all of its connections break within a short time, at least one of them
 * with a request in flight. Confined to one duty thread.
 */
public final class BreakDetector {
    /** The time within which all connections of a crashing server break. */
    public static final long BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<ServerId, Connections> connectionsByServer = new HashMap<>();

    /** Creates a detector that knows no connections. */
    public BreakDetector() {}

    /** Notes a new connection. */
    public void open(ServerId server) {
        connectionsByServer.computeIfAbsent(server, key -> new Connections()).open++;
    }

    /** Notes that this daemon closed a connection, or the server did so in order. */
    public void close(ServerId server) {
        Connections connections = connectionsByServer.get(server);
        if (connections != null) {
            connections.open--;
            removeIfUnused(server, connections);
        }
    }

    /**
     * Notes that a connection broke.
     *
     * @param inFlight the request that was in flight on it
     * @return the requests in flight on the server if this was its last connection; otherwise empty
     */
    public List<Fingerprint> breakOff(ServerId server, Optional<Fingerprint> inFlight, long nowNanos) {
        Objects.requireNonNull(inFlight, "inFlight");
        Connections connections = connectionsByServer.get(server);
        if (connections == null) {
            return List.of();
        }
        if (!connections.inBurst || nowNanos - connections.burstNanos > BURST_NANOS) {
            connections.broken.clear();
            connections.inBurst = true;
            connections.burstNanos = nowNanos;
        }
        connections.open--;
        inFlight.ifPresent(connections.broken::add);
        if (connections.open > 0) {
            return List.of();
        }
        List<Fingerprint> requests = new ArrayList<>(connections.broken);
        connectionsByServer.remove(server);
        return requests;
    }

    private void removeIfUnused(ServerId server, Connections connections) {
        if (connections.open <= 0) {
            connectionsByServer.remove(server);
        }
    }

    private static final class Connections {
        private final Set<Fingerprint> broken = new LinkedHashSet<>();
        private int open;
        private boolean inBurst;
        private long burstNanos;
    }
}
