package org.heatherreach.state.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.workspace.WorkspaceDirectory;

/**
 * One version of the routes of all hosts, with their services and the limits on callers. A lookup costs one map access
 * for each slash of the path, regardless of the number of routes. Immutable and safe for use by any thread.
 *
 * <p>Invariant: every target of a route is one of the services.
 */
public final class RoutingTable {
    private final long version;
    private final Map<String, Map<String, HostRoute>> routesByHost = new HashMap<>();
    private final Map<ServiceId, RoutedService> services;
    private final CallerLimits limits;
    private final WorkspaceDirectory workspaces;
    private final int routeCount;

    /**
     * Creates a table.
     *
     * @param version the version; a table replaces those with a smaller version
     * @param workspaces the workspaces whose callers need API keys; requests need no key if there are none
     * @throws IllegalArgumentException if a route names an unknown service, or two routes have the same host and prefix
     */
    public RoutingTable(
            long version,
            List<HostRoute> routes,
            List<RoutedService> services,
            CallerLimits limits,
            WorkspaceDirectory workspaces) {
        this.version = version;
        this.limits = Objects.requireNonNull(limits, "limits");
        this.workspaces = Objects.requireNonNull(workspaces, "workspaces");
        this.routeCount = routes.size();
        Map<ServiceId, RoutedService> byId = new HashMap<>();
        services.forEach(service -> byId.put(service.service(), service));
        this.services = Map.copyOf(byId);
        for (HostRoute route : routes) {
            for (RouteTarget target : route.targets()) {
                if (!this.services.containsKey(target.service())) {
                    throw new IllegalArgumentException(
                            "route " + route.name() + " names the unknown service " + target.service());
                }
            }
            HostRoute existing = routesByHost
                    .computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.prefix(), route);
            if (existing != null) {
                throw new IllegalArgumentException("routes " + existing.name() + " and " + route.name()
                        + " have the same prefix " + route.prefix());
            }
        }
    }

    /** Returns the version. */
    public long version() {
        return version;
    }

    /** Returns the limits on callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the workspaces. */
    public WorkspaceDirectory workspaces() {
        return workspaces;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routeCount;
    }

    /** Returns the services by id. */
    public Map<ServiceId, RoutedService> services() {
        return services;
    }

    /**
     * Returns the route with the longest prefix of the path; empty if no prefix matches.
     *
     * @param host the host without a port, in lower case
     * @param path the path without its query
     */
    public Option<HostRoute> find(String host, String path) {
        Map<String, HostRoute> routes = routesByHost.get(host);
        if (routes == null) {
            return Option.none();
        }
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            HostRoute route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Option.some(route);
            }
            slash = path.lastIndexOf('/', slash - 1);
        }
        return Option.none();
    }
}
