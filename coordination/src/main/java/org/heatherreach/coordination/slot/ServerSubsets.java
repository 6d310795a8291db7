package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import net.openhft.hashing.LongHashFunction;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Computes which daemons connect to which servers, so that the connections to a server do not exceed its limit.
 * The result depends only on the sets of servers and daemons, not on their order. Stateless and safe for use by any
 * thread.
 */
public final class ServerSubsets {
    /** The low bits of a score, which hold the index of the server. */
    private static final long INDEX_MASK = 0xffff;

    private ServerSubsets() {}

    /**
     * Assigns servers to daemons. Each daemon gets the servers with the highest rendezvous hashes among those that are
     * not yet assigned to {@code connections / slots} daemons. Every daemon gets the same number of servers, and at
     * least one unless all connections of all servers are assigned.
     */
    public static Map<IncarnationId, Set<ServerId>> assign(
            Collection<ServerId> servers, Collection<IncarnationId> daemons, ServiceLimits limits) {
        int daemonsPerServer = Math.max(1, limits.connections() / limits.slots());
        TreeSet<IncarnationId> sortedDaemons = new TreeSet<>(daemons);
        Map<IncarnationId, Set<ServerId>> assigned = new HashMap<>();
        if (sortedDaemons.size() <= daemonsPerServer) {
            Set<ServerId> all = Set.copyOf(servers);
            sortedDaemons.forEach(daemon -> assigned.put(daemon, all));
            return assigned;
        }
        List<ServerId> sortedServers = new ArrayList<>(new TreeSet<>(servers));
        long[] serverHashes = new long[sortedServers.size()];
        for (int i = 0; i < serverHashes.length; i++) {
            serverHashes[i] =
                    LongHashFunction.xx().hashChars(sortedServers.get(i).value());
        }
        int serversPerDaemon =
                Math.max(1, (int) ((long) daemonsPerServer * sortedServers.size() / sortedDaemons.size()));
        int[] assignedDaemons = new int[sortedServers.size()];
        for (IncarnationId daemon : sortedDaemons) {
            assigned.put(
                    daemon,
                    chooseServers(
                            daemon, sortedServers, serverHashes, assignedDaemons, serversPerDaemon, daemonsPerServer));
        }
        return assigned;
    }

    private static Set<ServerId> chooseServers(
            IncarnationId daemon,
            List<ServerId> servers,
            long[] serverHashes,
            int[] assignedDaemons,
            int serversPerDaemon,
            int daemonsPerServer) {
        LongHashFunction hash = LongHashFunction.xx(daemon.value());
        long[] scores = new long[servers.size()];
        int candidateCount = 0;
        for (int i = 0; i < servers.size(); i++) {
            if (assignedDaemons[i] < daemonsPerServer) {
                // The low bits hold the index of the server, so that scores can be sorted as primitive values.
                scores[candidateCount++] = hash.hashLong(serverHashes[i]) & ~INDEX_MASK | i;
            }
        }
        Arrays.sort(scores, 0, candidateCount);
        Set<ServerId> chosen = new LinkedHashSet<>();
        for (int position = candidateCount - 1; position >= 0 && chosen.size() < serversPerDaemon; position--) {
            int i = (int) (scores[position] & INDEX_MASK);
            chosen.add(servers.get(i));
            assignedDaemons[i]++;
        }
        return chosen;
    }
}
