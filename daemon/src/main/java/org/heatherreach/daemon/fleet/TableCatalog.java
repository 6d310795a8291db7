package org.heatherreach.daemon.fleet;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.ServiceCatalog;

/**
 * Routes and limits of the table in force. Until the first table arrives, the settings apply.
 *
 * <p>Thread safety: safe for use by any thread. A look-up sees one table or the next, never a mixture.
 */
public final class TableCatalog implements ServiceCatalog, TableListener {
    private final ServiceCatalog settings;
    private volatile TableInForce current;

    /** Creates a catalog that uses the settings until a table arrives. */
    public TableCatalog(ServiceCatalog settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
    }

    @Override
    public void changeTable(TableInForce table) {
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
        return table == null ? settings.route(path) : table.table().route(path).map(route -> route.service());
    }

    @Override
    public Option<ServiceLimits> serviceLimits(ServiceId service) {
        TableInForce table = current;
        return table == null ? settings.serviceLimits(service) : table.table().service(service);
    }

    @Override
    public RankLimits rankLimits(ServiceId service, Rank rank) {
        TableInForce table = current;
        return table == null
                ? settings.rankLimits(service, rank)
                : table.table().rank(service, rank);
    }
}
