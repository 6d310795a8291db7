package org.heatherreach.state.table;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.rank.Rank;

/**
 * The validated configuration of services, ranks, routes and workspaces with their limits. Immutable and safe for use
 * by any thread. Invariants: every rank has limits at every service; guarantees at a service add up to at most 100 %;
 * every service that a row names exists. Two tables are equal if their rows are equal.
 */
public final class Table {
    private final SortedMap<ServiceId, ServiceLimits> services;
    private final Map<Rank, RankLimits> ranks;
    private final SortedMap<ServiceId, Map<Rank, TableRow>> overrides;
    private final Map<ServiceId, Map<Rank, RankLimits>> ranksByService;
    private final RouteIndex routes;
    private final WorkspaceIndex workspaces;

    Table(
            SortedMap<ServiceId, ServiceLimits> services,
            Map<Rank, RankLimits> ranks,
            SortedMap<ServiceId, Map<Rank, TableRow>> overrides,
            Map<ServiceId, Map<Rank, RankLimits>> ranksByService,
            RouteIndex routes,
            WorkspaceIndex workspaces) {
        this.services = services;
        this.ranks = ranks;
        this.overrides = overrides;
        this.ranksByService = ranksByService;
        this.routes = routes;
        this.workspaces = workspaces;
    }

    /** Checks rows and returns the table, or all problems found. The order of the rows does not matter. */
    public static Either<List<TableProblem>, Table> of(List<TableRow> rows) {
        return new TableBuilder(rows).build();
    }

    /** Returns the ids of all services in order. */
    public List<ServiceId> services() {
        return List.copyOf(services.keySet());
    }

    /** Returns the limits of a service; empty if the table has no such service. */
    public Option<ServiceLimits> service(ServiceId service) {
        return Option.of(services.get(service));
    }

    /**
     * Returns the limits of a rank at a service, which are those of the rank row unless a row for the service overrides
     * them.
     */
    public RankLimits rank(ServiceId service, Rank rank) {
        Map<Rank, RankLimits> serviceRanks = ranksByService.get(service);
        return serviceRanks == null ? ranks.get(rank) : serviceRanks.getOrDefault(rank, ranks.get(rank));
    }

    /**
     * Returns the route with the longest prefix that matches a path; empty if none does. A prefix matches whole path
     * segments: {@code /stock} matches {@code /stock} and {@code /stock/7}, not {@code /stocks}.
     */
    public Option<Route> route(CharSequence path) {
        int index = routes.find(path);
        return index < 0 ? Option.none() : Option.some(routes.get(index));
    }

    /** Returns the limits of a workspace; empty if the table has no such workspace. */
    public Option<WorkspaceLimits> workspace(WorkspaceId workspace) {
        int index = workspaces.find(workspace.value());
        return index < 0 ? Option.none() : Option.some(workspaces.get(index));
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routes.size();
    }

    /** Returns the number of workspaces. */
    public int workspaceCount() {
        return workspaces.size();
    }

    /** Returns all rows in the order of the CSV; equal tables have the same order. */
    public List<TableRow> rows() {
        List<TableRow> rows = new ArrayList<>();
        services.values().forEach(limits -> rows.add(row(limits)));
        for (Rank rank : Rank.values()) {
            rows.add(row(ranks.get(rank)));
        }
        overrides.values().forEach(byRank -> rows.addAll(byRank.values()));
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
            cells.put(TableColumn.SERVICE, route.service().value());
            cells.put(TableColumn.RANK, route.rank().map(Rank::label).getOrElse(""));
            rows.add(new TableRow(RowKind.ROUTE.prefix() + route.prefix(), cells));
        }
        for (int i = 0; i < workspaces.size(); i++) {
            WorkspaceLimits limits = workspaces.get(i);
            Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
            cells.put(TableColumn.WEIGHT, Integer.toString(limits.weight()));
            cells.put(TableColumn.REQUEST_LIMIT, Integer.toString(limits.requestLimit()));
            rows.add(new TableRow(RowKind.WORKSPACE.prefix() + limits.workspace(), cells));
        }
        return rows;
    }

    /** Returns the rows by name, in the order of the CSV. */
    public Map<String, TableRow> rowsByName() {
        Map<String, TableRow> byName = new LinkedHashMap<>();
        rows().forEach(row -> byName.put(row.name(), row));
        return byName;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Table table && rows().equals(table.rows());
    }

    @Override
    public int hashCode() {
        return rows().hashCode();
    }

    /** Returns the sizes of the table, for logs. */
    @Override
    public String toString() {
        return "table of " + services.size() + " services, " + routes.size() + " routes and " + workspaces.size()
                + " workspaces";
    }

    private static TableRow row(ServiceLimits limits) {
        Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
        cells.put(TableColumn.FLOOR_PERCENT, Integer.toString(limits.floorPercent()));
        cells.put(TableColumn.SLOTS, Integer.toString(limits.slots()));
        cells.put(TableColumn.CONNECTIONS, Integer.toString(limits.connections()));
        cells.put(TableColumn.RETRY_PERCENT, Integer.toString(limits.retryPercent()));
        return new TableRow(RowKind.SERVICE.prefix() + limits.service(), cells);
    }

    private static TableRow row(RankLimits limits) {
        Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
        cells.put(TableColumn.WEIGHT, Integer.toString(limits.weight()));
        cells.put(TableColumn.GUARANTEE_PERCENT, Integer.toString(limits.guaranteePercent()));
        cells.put(TableColumn.QUEUE_LIMIT, Integer.toString(limits.queueLimit()));
        cells.put(TableColumn.TIMEOUT_MS, Integer.toString(limits.timeoutMillis()));
        return new TableRow(RowKind.RANK.prefix() + limits.rank().label(), cells);
    }
}
