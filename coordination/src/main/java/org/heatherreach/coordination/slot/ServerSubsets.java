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
 * Computes which daemons use which servers, so that the connections to a server stay under its limit.
 * The result depends only on the sets of servers and daemons, not on their order. Stateless and safe for use by any
 * thread.
 */
public final class ServerSubsets {
    private static final long INDEX_MASK = 0xffff;

    private ServerSubsets() {}

    /**
     * Assigns servers to daemons. Each daemon takes the servers of highest rendezvous hash that are not yet used by
     * {@code connections / slots} daemons. Every daemon gets the same number of servers, and at least one unless all
     * connections of all servers are taken.
     */
    public static Map<IncarnationId, Set<ServerId>> assign(
            Collection<ServerId> servers, Collection<IncarnationId> daemons, ServiceLimits limits) {
        int daemonsPerServer = Math.max(1, limits.connections() / limits.slots());
        TreeSet<IncarnationId> ordered = new TreeSet<>(daemons);
        Map<IncarnationId, Set<ServerId>> assigned = new HashMap<>();
        if (ordered.size() <= daemonsPerServer) {
            Set<ServerId> all = Set.copyOf(servers);
            ordered.forEach(daemon -> assigned.put(daemon, all));
            return assigned;
        }
        List<ServerId> sorted = new ArrayList<>(new TreeSet<>(servers));
        long[] serverHashes = new long[sorted.size()];
        for (int i = 0; i < serverHashes.length; i++) {
            serverHashes[i] = LongHashFunction.xx().hashChars(sorted.get(i).value());
        }
        int perDaemon = Math.max(1, (int) ((long) daemonsPerServer * sorted.size() / ordered.size()));
        int[] used = new int[sorted.size()];
        for (IncarnationId daemon : ordered) {
            assigned.put(daemon, choose(daemon, sorted, serverHashes, used, perDaemon, daemonsPerServer));
        }
        return assigned;
    }

    private static Set<ServerId> choose(
            IncarnationId daemon,
            List<ServerId> sorted,
            long[] serverHashes,
            int[] used,
            int perDaemon,
            int daemonsPerServer) {
        LongHashFunction hash = LongHashFunction.xx(daemon.value());
        long[] scores = new long[sorted.size()];
        int candidates = 0;
        for (int i = 0; i < sorted.size(); i++) {
            if (used[i] < daemonsPerServer) {
                // The low bits carry the index, so that primitive values can be sorted.
                scores[candidates++] = hash.hashLong(serverHashes[i]) & ~INDEX_MASK | i;
            }
        }
        Arrays.sort(scores, 0, candidates);
        Set<ServerId> chosen = new LinkedHashSet<>();
        for (int place = candidates - 1; place >= 0 && chosen.size() < perDaemon; place--) {
            int i = (int) (scores[place] & INDEX_MASK);
            chosen.add(sorted.get(i));
            used[i]++;
        }
        return chosen;
    }
}
