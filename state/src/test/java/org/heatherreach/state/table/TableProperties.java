package org.heatherreach.state.table;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.vavr.control.Either;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.rank.Rank;

import static org.assertj.core.api.Assertions.assertThat;

class TableProperties {
    // Guards against cells that change when a table is written as CSV and read again, and against CSV bytes that depend
    // on the order of the rows.
    @Property(seed = "11", tries = 200)
    void csvRoundTripsAndIsCanonical(@ForAll long seed) {
        List<TableRow> rows = randomRows(seed);
        Table table = read(rows);
        String csv = TableCsv.write(table);
        assertThat(TableCsv.read(csv).get()).isEqualTo(table);
        Collections.shuffle(rows, new Random(seed));
        assertThat(TableCsv.write(read(rows))).isEqualTo(csv);
        assertThat(TableDiff.between(table, read(rows))).isEmpty();
    }

    // Guards against the rejection of a CSV file because a spreadsheet saved it: with a byte order mark, semicolons,
    // Windows line ends, spaces and blank lines.
    @Property(seed = "12", tries = 100)
    void readsWhatSpreadsheetsSave(@ForAll long seed) {
        Table table = read(randomRows(seed));
        String saved = "\uFEFF"
                + TableCsv.write(table)
                        .replace(',', ';')
                        .replace("\n", " ;;\r\n")
                        .concat(";;;\r\n\r\n");
        assertThat(TableCsv.read(saved).get()).isEqualTo(table);
    }

    // Guards against rejections that do not name the cell that the operator has to correct.
    @Property(seed = "13", tries = 300)
    void rejectionNamesRowColumnAndValue(@ForAll long seed, @ForAll @IntRange(min = 0, max = 10_000) int choice) {
        List<TableRow> rows = randomRows(seed);
        TableRow row = rows.get(choice % rows.size());
        TableColumn column = TableColumn.values()[1 + choice % (TableColumn.values().length - 1)];
        List<TableRow> edited = new ArrayList<>(rows);
        edited.set(choice % rows.size(), row.with(column, "-1"));
        Either<List<TableProblem>, Table> result = Table.of(edited);
        assertThat(result.isLeft()).isTrue();
        assertThat(result.getLeft()).anySatisfy(problem -> {
            assertThat(problem.row()).isEqualTo(row.name());
            assertThat(problem.column()).isEqualTo(column.label());
            assertThat(problem.value()).isEqualTo("-1");
            assertThat(problem.rule()).startsWith("must");
        });
    }

    // Guards against checks that stop at the first problem, so that an operator needs one attempt per mistake.
    @Example
    void reportsEveryProblemAtOnce() {
        String csv = "row,weight,guarantee_percent,queue_limit,timeout_ms,floor_percent,slots,connections,"
                + "retry_percent,colour\n"
                + "service:a,,,,,101,3,2,10,\n"
                + "service:a,,,,,50,3,330,10,\n"
                + "rank:urgent,1,60,10,1000,,,,,\n"
                + "rank:standard,1,60,10,1000,,,,,\n"
                + "rank:vital,1,10,10,1000,,,,,\n"
                + "rank:bulk@b,,10,,,,,,,\n"
                + "route:x,,,,,,,,,\n"
                + "depot:x,,,,,,,,,\n";
        assertThat(TableCsv.read(csv).getLeft())
                .extracting(TableProblem::toString)
                .contains(
                        "row service:a, column floor_percent, value \"101\": must be a whole number from 0 to 100",
                        "row service:a, column row, value \"service:a\": must be the only row of this name",
                        "row rank:vital, column row, value \"rank:vital\": "
                                + "must name the rank urgent, standard or bulk",
                        "row rank:bulk, column row, value \"\": must be present",
                        "row route:x, column service, value \"\": must not be empty")
                .anyMatch(text -> text.startsWith("row line 1, column colour"))
                .anyMatch(text -> text.startsWith("row rank:bulk@b, column row") && text.contains("\"b\""))
                .anyMatch(text -> text.startsWith("row route:x, column row") && text.contains("starts with /"))
                .anyMatch(text -> text.startsWith("row depot:x, column row"));
    }

    // Guards against guarantees that add up to more than 100 % and so can't all be met at one service.
    @Example
    void guaranteesAddUpToAtMostOneHundred() {
        List<TableRow> rows = randomRows(1);
        rows.removeIf(row -> row.name().startsWith("rank:"));
        rows.add(rank("rank:urgent", 50));
        rows.add(rank("rank:standard", 30));
        rows.add(rank("rank:bulk", 20));
        assertThat(Table.of(rows).isRight()).isTrue();
        rows.add(new TableRow("rank:bulk@s0", Map.of(TableColumn.GUARANTEE_PERCENT, "21")));
        assertThat(Table.of(rows).getLeft())
                .containsExactly(new TableProblem(
                        "rank:*@s0",
                        "guarantee_percent",
                        "101",
                        "must add up to at most 100 over the ranks of a service"));
    }

    // Guards against requests sent to the service of a shorter prefix, or of a prefix that ends within a segment.
    @Property(seed = "14", tries = 300)
    void routeIsTheLongestMatchingPrefix(@ForAll long seed) {
        Random random = new Random(seed);
        List<TableRow> rows = randomRows(seed);
        for (int i = 0; i < 40; i++) {
            String prefix = randomPath(random);
            if (rows.stream().noneMatch(row -> row.name().equals("route:" + prefix))) {
                rows.add(new TableRow("route:" + prefix, Map.of(TableColumn.SERVICE, "s0")));
            }
        }
        Table table = read(rows);
        for (int i = 0; i < 50; i++) {
            String path = randomPath(random);
            String expected = rows.stream()
                    .filter(row -> row.name().startsWith("route:"))
                    .map(row -> row.name().substring("route:".length()))
                    .filter(prefix ->
                            path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/"))
                    .max(Comparator.comparingInt(String::length))
                    .orElse(null);
            assertThat(table.route(path + "?q=/a").map(Route::prefix).getOrNull())
                    .isEqualTo(expected);
        }
    }

    // Guards against chunks that exceed the size limit of a value, that join to a different table, or that all change
    // when one row changes.
    @Example
    void chunksOfALargeTableFitAndChangeLocally() {
        List<TableRow> rows = randomRows(3);
        for (int i = 0; i < 16_000; i++) {
            rows.add(new TableRow("route:/large/" + i + "/pattern-sheets", Map.of(TableColumn.SERVICE, "s0")));
        }
        for (int i = 0; i < 19_000; i++) {
            rows.add(workspace("workspace:large-" + i, 1));
        }
        Table table = read(rows);
        List<TableChunk> chunks = TableChunks.split(table);
        assertThat(chunks).allMatch(chunk -> chunk.content().length <= TableChunks.LIMIT_BYTES);
        assertThat(TableChunks.join(chunks).get()).isEqualTo(table);
        assertThat(table.route("/large/777/pattern-sheets/x").get().prefix()).isEqualTo("/large/777/pattern-sheets");
        assertThat(table.workspace(new WorkspaceId("large-18999")).isDefined()).isTrue();
        assertThat(table.workspace(new WorkspaceId("large-19000")).isDefined()).isFalse();
        rows.set(rows.size() - 9_000, workspace(rows.get(rows.size() - 9_000).name(), 7));
        List<TableChunk> changed = new ArrayList<>(TableChunks.split(read(rows)));
        changed.removeAll(chunks);
        assertThat(changed).hasSize(1);
    }

    // Guards against a damaged chunk that is accepted as a part of the table.
    @Example
    void damagedChunkIsRejected() {
        TableChunk chunk = TableChunks.split(read(randomRows(5))).get(0);
        byte[] damaged = chunk.content().clone();
        damaged[damaged.length - 2] ^= 1;
        assertThat(TableChunks.join(List.of(new TableChunk(chunk.hash(), damaged)))
                        .isLeft())
                .isTrue();
    }

    // Guards against a merge that loses a cell of either operator without reporting it as a conflict.
    @Property(seed = "15", tries = 300)
    void mergeLosesNoChange(@ForAll long seed) {
        Random random = new Random(seed);
        List<TableRow> rows = randomRows(seed);
        Table base = read(rows);
        Table mine = read(edit(rows, random));
        Table theirs = read(edit(rows, random));
        MergeReport report = TableDiff.merge(base, mine, theirs);
        Map<String, TableRow> merged = new HashMap<>();
        report.merged().forEach(row -> merged.put(row.name(), row));
        for (List<CellChange> changes : List.of(report.mine(), report.theirs())) {
            for (CellChange change : changes) {
                boolean kept = merged.containsKey(change.row())
                        ? merged.get(change.row()).cell(change.column()).equals(change.after())
                        : change.after().isEmpty();
                boolean reported = report.conflicts().stream()
                        .anyMatch(conflict -> conflict.row().equals(change.row())
                                && (conflict.column() == change.column() || conflict.column() == TableColumn.ROW));
                assertThat(kept || reported).as(change.toString()).isTrue();
            }
        }
        assertThat(read(TableDiff.merge(base, base, theirs).merged())).isEqualTo(theirs);
        assertThat(read(TableDiff.merge(base, mine, base).merged())).isEqualTo(mine);
        assertThat(TableDiff.merge(base, mine, mine).conflicts()).isEmpty();
    }

    // Guards against override cells of one service that apply to another service or that discard the inherited cells.
    @Example
    void rowOfOneServiceReplacesOnlyItsCells() {
        List<TableRow> rows = randomRows(1);
        rows.removeIf(row -> row.name().startsWith("rank:"));
        for (Rank rank : Rank.values()) {
            rows.add(rank("rank:" + rank.label(), 10));
        }
        rows.add(new TableRow("rank:bulk@s0", Map.of(TableColumn.TIMEOUT_MS, "77")));
        Table table = read(rows);
        assertThat(table.rank(new ServiceId("s0"), Rank.BULK)).isEqualTo(new RankLimits(Rank.BULK, 1, 10, 100, 77));
        assertThat(table.rank(new ServiceId("s1"), Rank.BULK)).isEqualTo(new RankLimits(Rank.BULK, 1, 10, 100, 1000));
    }

    private static Table read(List<TableRow> rows) {
        return Table.of(rows).getOrElseThrow(problems -> new AssertionError(problems.toString()));
    }

    /** Returns a copy with a few workspaces changed, removed and added; no other row depends on workspaces. */
    private static List<TableRow> edit(List<TableRow> rows, Random random) {
        List<TableRow> edited = new ArrayList<>(rows);
        for (int i = 0; i < 4; i++) {
            int index = random.nextInt(edited.size());
            if (!edited.get(index).name().startsWith("workspace:")) {
                continue;
            }
            if (random.nextInt(4) == 0) {
                edited.remove(index);
            } else {
                TableColumn column = random.nextBoolean() ? TableColumn.WEIGHT : TableColumn.REQUEST_LIMIT;
                edited.set(index, edited.get(index).with(column, Integer.toString(1 + random.nextInt(3))));
            }
        }
        if (random.nextBoolean()) {
            edited.add(workspace("workspace:added-" + random.nextInt(2), 1 + random.nextInt(3)));
        }
        return edited;
    }

    private static List<TableRow> randomRows(long seed) {
        Random random = new Random(seed);
        List<TableRow> rows = new ArrayList<>();
        int services = 2 + random.nextInt(4);
        for (int i = 0; i < services; i++) {
            rows.add(new TableRow(
                    "service:s" + i,
                    Map.of(
                            TableColumn.FLOOR_PERCENT, Integer.toString(random.nextInt(101)),
                            TableColumn.SLOTS, Integer.toString(1 + random.nextInt(9)),
                            TableColumn.CONNECTIONS, Integer.toString(10 + random.nextInt(400)),
                            TableColumn.RETRY_PERCENT, Integer.toString(random.nextInt(101)))));
        }
        for (Rank rank : Rank.values()) {
            rows.add(rank("rank:" + rank.label(), random.nextInt(34)));
            if (random.nextBoolean()) {
                rows.add(new TableRow(
                        "rank:" + rank.label() + "@s" + random.nextInt(services),
                        Map.of(TableColumn.QUEUE_LIMIT, Integer.toString(1 + random.nextInt(50)))));
            }
        }
        for (int i = 0; i < random.nextInt(10); i++) {
            rows.add(new TableRow(
                    "route:/r" + i,
                    Map.of(
                            TableColumn.SERVICE,
                            "s" + random.nextInt(services),
                            TableColumn.RANK,
                            random.nextBoolean() ? "" : Rank.values()[random.nextInt(3)].label())));
        }
        for (int i = 0; i < 3 + random.nextInt(10); i++) {
            rows.add(workspace("workspace:w" + i, 1 + random.nextInt(1000)));
        }
        return rows;
    }

    private static TableRow rank(String name, int guaranteePercent) {
        return new TableRow(
                name,
                Map.of(
                        TableColumn.WEIGHT, "1",
                        TableColumn.GUARANTEE_PERCENT, Integer.toString(guaranteePercent),
                        TableColumn.QUEUE_LIMIT, "100",
                        TableColumn.TIMEOUT_MS, "1000"));
    }

    private static TableRow workspace(String name, int weight) {
        return new TableRow(
                name, Map.of(TableColumn.WEIGHT, Integer.toString(weight), TableColumn.REQUEST_LIMIT, "100"));
    }

    private static String randomPath(Random random) {
        StringBuilder path = new StringBuilder();
        int segments = 1 + random.nextInt(4);
        for (int i = 0; i < segments; i++) {
            path.append('/').append("ab", 0, random.nextInt(3)).append(random.nextBoolean() ? "-" : "");
        }
        return path.toString();
    }
}
