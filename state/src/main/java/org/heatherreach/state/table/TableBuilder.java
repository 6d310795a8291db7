package org.heatherreach.state.table;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.rank.Rank;

/**
 * Checks rows and builds a table. It collects every problem instead of stopping at the first, so that an operator
 * corrects a file in one pass. Confined to one thread.
 */
final class TableBuilder {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String NAME_RULE =
            "must be 1 to 63 letters, digits, dots, dashes or underscores and start with a letter or digit";
    private static final Pattern PREFIX = Pattern.compile("/[!-~&&[^?#,;\"]]{0,511}");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final int MAX_SERVICES = Short.MAX_VALUE;

    private final List<TableRow> rows;
    private final List<TableProblem> problems = new ArrayList<>();
    private final SortedMap<ServiceId, ServiceLimits> services = new TreeMap<>();
    private final Set<String> serviceNames = new HashSet<>();
    private final Map<Rank, RankLimits> ranks = new EnumMap<>(Rank.class);
    private final SortedMap<ServiceId, Map<Rank, TableRow>> overrides = new TreeMap<>();
    private final SortedMap<String, RouteIndex.RouteRow> routes = new TreeMap<>();
    private final SortedMap<String, WorkspaceLimits> workspaces = new TreeMap<>();

    TableBuilder(List<TableRow> rows) {
        this.rows = rows;
    }

    Either<List<TableProblem>, Table> build() {
        Map<String, TableRow> byName = new LinkedHashMap<>();
        for (TableRow row : rows) {
            if (byName.putIfAbsent(row.name(), row) != null) {
                reject(row, TableColumn.ROW, "must be the only row of this name");
            } else if (row.name().startsWith(RowKind.SERVICE.prefix())) {
                serviceNames.add(row.name().substring(RowKind.SERVICE.prefix().length()));
            }
        }
        byName.values().forEach(this::add);
        for (Rank rank : Rank.values()) {
            String name = RowKind.RANK.prefix() + rank.label();
            if (!byName.containsKey(name)) {
                problems.add(new TableProblem(name, TableColumn.ROW.label(), "", "must be present"));
            }
        }
        if (services.size() > MAX_SERVICES) {
            problems.add(new TableProblem(
                    RowKind.SERVICE.prefix() + "*",
                    TableColumn.ROW.label(),
                    Integer.toString(services.size()),
                    "must be at most " + MAX_SERVICES + " rows"));
        }
        Map<ServiceId, Map<Rank, RankLimits>> ranksByService = problems.isEmpty() ? resolveRanks() : Map.of();
        if (!problems.isEmpty()) {
            return Either.left(List.copyOf(problems));
        }
        return Either.right(new Table(
                services,
                ranks,
                overrides,
                ranksByService,
                new RouteIndex(routes, List.copyOf(services.keySet())),
                new WorkspaceIndex(workspaces)));
    }

    private void add(TableRow row) {
        RowKind kind = RowKind.of(row.name());
        if (kind == null) {
            reject(
                    row,
                    TableColumn.ROW,
                    "must start with service:, rank:, route: or workspace: (as in service:NAME or rank:NAME@SERVICE)");
            return;
        }
        Map<TableColumn, Integer> numbers = readCells(row, kind);
        String name = row.name().substring(kind.prefix().length());
        switch (kind) {
            case SERVICE -> addService(row, name, numbers);
            case RANK -> addRank(row, name, numbers);
            case RANK_AT_SERVICE -> addOverride(row, name);
            case ROUTE -> addRoute(row, name);
            case WORKSPACE -> addWorkspace(row, name, numbers);
            default -> throw new IllegalStateException("unknown kind " + kind);
        }
    }

    /** Checks each cell on its own and returns the numbers, or null if a cell is rejected. */
    private Map<TableColumn, Integer> readCells(TableRow row, RowKind kind) {
        int problemsBefore = problems.size();
        Map<TableColumn, Integer> numbers = new EnumMap<>(TableColumn.class);
        for (TableColumn column : TableColumn.values()) {
            String text = row.cell(column);
            if (!kind.allows(column)) {
                if (!text.isEmpty()) {
                    reject(row, column, "must be empty in a " + rowNameForm(kind) + " row");
                }
            } else if (text.isEmpty()) {
                if (kind.required().contains(column)) {
                    reject(row, column, column.isNumber() ? column.rule() : "must not be empty");
                }
            } else if (column.isNumber()) {
                if (NUMBER.matcher(text).matches() && column.accepts(Integer.parseInt(text))) {
                    numbers.put(column, Integer.parseInt(text));
                } else {
                    reject(row, column, column.rule());
                }
            }
        }
        return problems.size() == problemsBefore ? numbers : null;
    }

    private void addService(TableRow row, String name, Map<TableColumn, Integer> numbers) {
        if (!checkName(row, name) || numbers == null) {
            return;
        }
        int slots = numbers.get(TableColumn.SLOTS);
        int connections = numbers.get(TableColumn.CONNECTIONS);
        if (connections < slots) {
            reject(row, TableColumn.CONNECTIONS, "must be at least the slots of the row, which are " + slots);
            return;
        }
        ServiceId service = new ServiceId(name);
        services.put(
                service,
                new ServiceLimits(
                        service,
                        numbers.get(TableColumn.FLOOR_PERCENT),
                        slots,
                        connections,
                        numbers.get(TableColumn.RETRY_PERCENT)));
    }

    private void addRank(TableRow row, String name, Map<TableColumn, Integer> numbers) {
        Option<Rank> rank = findRank(row, TableColumn.ROW, name);
        if (rank.isDefined() && numbers != null) {
            ranks.put(
                    rank.get(),
                    new RankLimits(
                            rank.get(),
                            numbers.get(TableColumn.WEIGHT),
                            numbers.get(TableColumn.GUARANTEE_PERCENT),
                            numbers.get(TableColumn.QUEUE_LIMIT),
                            numbers.get(TableColumn.TIMEOUT_MS)));
        }
    }

    private void addOverride(TableRow row, String name) {
        int atIndex = name.indexOf('@');
        Option<Rank> rank = findRank(row, TableColumn.ROW, name.substring(0, atIndex));
        String serviceName = name.substring(atIndex + 1);
        if (!checkService(row, TableColumn.ROW, serviceName) || rank.isEmpty()) {
            return;
        }
        if (row.cells().isEmpty()) {
            reject(
                    row,
                    TableColumn.ROW,
                    "must replace at least one cell of rank:" + rank.get().label());
            return;
        }
        TableRow canonical = row;
        for (Map.Entry<TableColumn, String> cell : row.cells().entrySet()) {
            if (NUMBER.matcher(cell.getValue()).matches()) {
                canonical = canonical.with(cell.getKey(), Integer.toString(Integer.parseInt(cell.getValue())));
            }
        }
        overrides
                .computeIfAbsent(new ServiceId(serviceName), unused -> new EnumMap<>(Rank.class))
                .put(rank.get(), canonical);
    }

    private void addRoute(TableRow row, String prefix) {
        if (!PREFIX.matcher(prefix).matches()) {
            reject(
                    row,
                    TableColumn.ROW,
                    "must have a prefix that starts with / and has at most 512 visible ASCII characters without"
                            + " ? # , ; or \"");
            return;
        }
        Option<Rank> rank = Option.none();
        String rankName = row.cell(TableColumn.RANK);
        if (!rankName.isEmpty()) {
            rank = findRank(row, TableColumn.RANK, rankName);
        }
        String serviceName = row.cell(TableColumn.SERVICE);
        if (!serviceName.isEmpty() && checkService(row, TableColumn.SERVICE, serviceName)) {
            routes.put(prefix, new RouteIndex.RouteRow(new ServiceId(serviceName), rank));
        }
    }

    private void addWorkspace(TableRow row, String name, Map<TableColumn, Integer> numbers) {
        if (checkName(row, name) && numbers != null) {
            workspaces.put(
                    name,
                    new WorkspaceLimits(
                            new WorkspaceId(name),
                            numbers.get(TableColumn.WEIGHT),
                            numbers.get(TableColumn.REQUEST_LIMIT)));
        }
    }

    /** Applies the rows that override rank limits at a service and checks the resulting guarantees. */
    private Map<ServiceId, Map<Rank, RankLimits>> resolveRanks() {
        checkGuarantees(ranks, Map.of(), "rank:*");
        Map<ServiceId, Map<Rank, RankLimits>> resolved = new HashMap<>();
        overrides.forEach((service, byRank) -> {
            Map<Rank, RankLimits> serviceRanks = new EnumMap<>(ranks);
            byRank.forEach((rank, row) -> serviceRanks.put(rank, applyOverride(ranks.get(rank), row)));
            checkGuarantees(serviceRanks, byRank, "rank:*@" + service);
            resolved.put(service, serviceRanks);
        });
        return resolved;
    }

    private void checkGuarantees(Map<Rank, RankLimits> limits, Map<Rank, TableRow> overridingRows, String rowName) {
        int sum =
                limits.values().stream().mapToInt(RankLimits::guaranteePercent).sum();
        boolean setsGuarantee = overridingRows.isEmpty()
                || overridingRows.values().stream().anyMatch(row -> hasValue(row, TableColumn.GUARANTEE_PERCENT));
        if (sum > 100 && setsGuarantee) {
            problems.add(new TableProblem(
                    rowName,
                    TableColumn.GUARANTEE_PERCENT.label(),
                    Integer.toString(sum),
                    "must add up to at most 100 over the ranks of a service"));
        }
    }

    private static RankLimits applyOverride(RankLimits limits, TableRow row) {
        return new RankLimits(
                limits.rank(),
                numberOrInherited(row, TableColumn.WEIGHT, limits.weight()),
                numberOrInherited(row, TableColumn.GUARANTEE_PERCENT, limits.guaranteePercent()),
                numberOrInherited(row, TableColumn.QUEUE_LIMIT, limits.queueLimit()),
                numberOrInherited(row, TableColumn.TIMEOUT_MS, limits.timeoutMillis()));
    }

    private static int numberOrInherited(TableRow row, TableColumn column, int inherited) {
        return hasValue(row, column) ? Integer.parseInt(row.cell(column)) : inherited;
    }

    private static boolean hasValue(TableRow row, TableColumn column) {
        return !row.cell(column).isEmpty();
    }

    private boolean checkName(TableRow row, String name) {
        if (NAME.matcher(name).matches()) {
            return true;
        }
        reject(row, TableColumn.ROW, "name " + NAME_RULE);
        return false;
    }

    private boolean checkService(TableRow row, TableColumn column, String serviceName) {
        if (serviceNames.contains(serviceName)) {
            return NAME.matcher(serviceName).matches();
        }
        reject(row, column, "must name a service that has a row service:NAME, but \"" + serviceName + "\" has none");
        return false;
    }

    private Option<Rank> findRank(TableRow row, TableColumn column, String name) {
        Option<Rank> rank = Option.ofOptional(Rank.find(name));
        if (rank.isEmpty()) {
            reject(row, column, "must name the rank urgent, standard or bulk");
        }
        return rank;
    }

    private static String rowNameForm(RowKind kind) {
        return switch (kind) {
            case SERVICE -> "service:NAME";
            case RANK -> "rank:NAME";
            case RANK_AT_SERVICE -> "rank:NAME@SERVICE";
            case ROUTE -> "route:/PREFIX";
            case WORKSPACE -> "workspace:NAME";
        };
    }

    private void reject(TableRow row, TableColumn column, String rule) {
        problems.add(new TableProblem(row.name(), column.label(), row.cell(column), rule));
    }
}
