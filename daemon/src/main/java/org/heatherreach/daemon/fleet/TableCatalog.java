package org.heatherreach.daemon.fleet;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.ServiceCatalog;

/**
 * The routes and limits of the table in force. Before the first table arrives, there are no services.
 *
 * <p>Thread safety: safe for use by any thread. Each look-up uses a single version of the table.
 */
public final class TableCatalog implements ServiceCatalog, TableListener {
    private static final RankLimits NO_LIMITS = new RankLimits(Rank.STANDARD, 1, 0, 1, 1);

    private volatile TableInForce current;

    @Override
    public void onTableChanged(TableInForce table) {
        current = table;
    }

    /** Returns the version in force; zero if there is none. */
    public long version() {
        TableInForce table = current;
        return table == null ? 0 : table.version();
    }

    @Override
    public Option<ServiceId> route(String path) {
        TableInForce table = current;
        return table == null ? Option.none() : table.table().route(path).map(route -> route.service());
    }

    @Override
    public Option<ServiceLimits> serviceLimits(ServiceId service) {
        TableInForce table = current;
        return table == null ? Option.none() : table.table().service(service);
    }

    @Override
    public RankLimits rankLimits(ServiceId service, Rank rank) {
        TableInForce table = current;
        return table == null ? NO_LIMITS : table.table().rank(service, rank);
    }
}
