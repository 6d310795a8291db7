package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.ServiceCatalog;

/**
 * The limits of services according to the routing table in use and the settings. The daemons of a zone share the part
 * of the fleet's retry budget that belongs to their zone. Safe for use by any thread.
 */
final class SiteCatalog implements ServiceCatalog {
    /**
     * The part of the permitted retry share that is used; the rest is a margin for retry windows that are not aligned.
     */
    private static final double USED_SHARE = 0.9;
    /** The part of the slack that is used; the rest is a margin for restarted daemons, which begin with a new slack. */
    private static final double USED_SLACK = 0.75;

    private static final int QUEUE_LIMIT = 2000;
    private static final int DEFAULT_TIMEOUT_MILLIS = 10_000;

    private final TableInUse table;
    private final SiteSettings settings;
    private final DoubleSupplier zoneShare;
    private final Function<ServiceId, RetryUsage> peerRetries;

    SiteCatalog(
            TableInUse table,
            SiteSettings settings,
            DoubleSupplier zoneShare,
            Function<ServiceId, RetryUsage> peerRetries) {
        this.table = Objects.requireNonNull(table, "table");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.zoneShare = Objects.requireNonNull(zoneShare, "zoneShare");
        this.peerRetries = Objects.requireNonNull(peerRetries, "peerRetries");
    }

    @Override
    public Option<ServiceId> route(String path) {
        return Option.none();
    }

    @Override
    public Option<ServiceLimits> serviceLimits(ServiceId service) {
        return table.table()
                .flatMap(known -> Option.of(known.services().get(service)))
                .map(known -> new ServiceLimits(
                        service, 0, 1, Math.max(1, known.connections()), (int) (settings.retryPercent() * USED_SHARE)));
    }

    @Override
    public RankLimits rankLimits(ServiceId service, Rank rank) {
        return new RankLimits(rank, 1, 0, QUEUE_LIMIT, DEFAULT_TIMEOUT_MILLIS);
    }

    @Override
    public int retrySlack(ServiceId service) {
        return (int) (settings.retrySlack() * USED_SLACK * zoneShare.getAsDouble());
    }

    @Override
    public boolean retriesByUrgency() {
        return settings.retriesByUrgency();
    }

    @Override
    public RetryUsage peerRetries(ServiceId service) {
        return peerRetries.apply(service);
    }
}
