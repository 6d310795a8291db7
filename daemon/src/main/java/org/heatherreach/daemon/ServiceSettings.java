package org.heatherreach.daemon;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.BackendServer;

/**
 * The settings of a service. Immutable and safe for use by any thread.
 *
 * @param limits the limits of the service
 * @param ranks the limits of each rank
 * @param servers its backend servers
 */
public record ServiceSettings(ServiceLimits limits, Map<Rank, RankLimits> ranks, List<BackendServer> servers) {
    public ServiceSettings {
        Objects.requireNonNull(limits, "limits");
        ranks = Map.copyOf(ranks);
        servers = List.copyOf(servers);
    }
}
