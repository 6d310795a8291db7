package org.heatherreach.daemon;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.BackendServer;

/**
 * A service as the settings describe it. Immutable and safe for use by any thread.
 *
 * @param limits the limits of the service
 * @param ranks the limits of each rank
 * @param servers its servers
 */
public record ServiceSettings(ServiceLimits limits, Map<Rank, RankLimits> ranks, List<BackendServer> servers) {
    /** Creates settings. */
    public ServiceSettings {
        Objects.requireNonNull(limits, "limits");
        ranks = Map.copyOf(ranks);
        servers = List.copyOf(servers);
    }
}
