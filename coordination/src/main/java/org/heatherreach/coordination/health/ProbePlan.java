package org.heatherreach.coordination.health;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import net.openhft.hashing.LongHashFunction;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;

/**
 * Decides which daemon probes which server: one prober per server and zone, by rendezvous hash over the live daemons of
 * the zone. Immutable and safe for use by any thread.
 */
public final class ProbePlan {
    private final List<IncarnationId> daemons;

    /** Creates the plan of one zone from its live daemons. */
    public ProbePlan(Collection<IncarnationId> liveDaemonsOfZone) {
        this.daemons = List.copyOf(liveDaemonsOfZone);
    }

    /** Returns the daemon that probes a server; empty if the zone has no live daemon. */
    public Optional<IncarnationId> proberOf(ServerId server) {
        byte[] name = server.value().getBytes(StandardCharsets.UTF_8);
        IncarnationId bestDaemon = null;
        long bestScore = 0;
        for (IncarnationId daemon : daemons) {
            long score = LongHashFunction.xx3(daemon.value()).hashBytes(name);
            boolean wins = bestDaemon == null
                    || score > bestScore
                    || score == bestScore && daemon.value() > bestDaemon.value();
            if (wins) {
                bestDaemon = daemon;
                bestScore = score;
            }
        }
        return Optional.ofNullable(bestDaemon);
    }

    /** Returns those of the given servers that a daemon has to probe. */
    public List<ServerId> serversOf(IncarnationId self, Collection<ServerId> servers) {
        Objects.requireNonNull(self, "self");
        List<ServerId> assigned = new ArrayList<>();
        for (ServerId server : servers) {
            if (proberOf(server).filter(self::equals).isPresent()) {
                assigned.add(server);
            }
        }
        return assigned;
    }
}
