package org.heatherreach.daemon;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.ServiceCatalog;

/**
 * The routes and limits from the settings, for a standalone daemon, which has no table. Immutable and safe for use by
 * any thread.
 */
public final class SettingsCatalog implements ServiceCatalog {
    private static final int DEFAULT_QUEUE_LIMIT = 1000;
    private static final int DEFAULT_TIMEOUT_MILLIS = 10_000;

    private final Map<ServiceId, ServiceSettings> services;
    private final List<Map.Entry<String, ServiceId>> routes;

    public SettingsCatalog(DaemonSettings settings) {
        Objects.requireNonNull(settings, "settings");
        services = settings.services();
        routes = settings.routes().entrySet().stream()
                .sorted((first, second) ->
                        second.getKey().length() - first.getKey().length())
                .toList();
    }

    @Override
    public Option<ServiceId> route(String path) {
        for (Map.Entry<String, ServiceId> route : routes) {
            if (path.startsWith(route.getKey())) {
                return Option.of(route.getValue());
            }
        }
        return Option.none();
    }

    @Override
    public Option<ServiceLimits> serviceLimits(ServiceId service) {
        return Option.of(services.get(service)).map(ServiceSettings::limits);
    }

    @Override
    public RankLimits rankLimits(ServiceId service, Rank rank) {
        return Option.of(services.get(service))
                .flatMap(settings -> Option.of(settings.ranks().get(rank)))
                .getOrElse(() -> new RankLimits(rank, 1, 0, DEFAULT_QUEUE_LIMIT, DEFAULT_TIMEOUT_MILLIS));
    }
}
