package org.heatherreach.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;

import org.heatherreach.bench.BenchException;
import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.table.Table;
import org.heatherreach.state.table.TableCsv;

/**
 * Measures what a table of many routes and workspaces costs a daemon: size, heap, time to parse and to look up. The
 * proportions are those of the target: 16,000 routes, 19,000 workspaces and 590 services. Confined to one thread.
 */
public final class TableCostBenchmark implements Benchmark {
    private static final int[] SIZES = {4450, 8900, 17_800, 35_600};
    private static final int LOOKUPS = 200_000;
    private static final int PARSES = 5;

    @Override
    public String name() {
        return "tablecost";
    }

    @Override
    public String description() {
        return "size, heap, parse time and look-up time of a table by its rows";
    }

    @Override
    public void run(long seed, BenchReport report) throws BenchException {
        for (int rows : SIZES) {
            byte[] csv = csvOf(rows);
            Table table = parse(csv);
            String subject = rows + " rows";
            report.add("table bytes", subject, "product", csv.length, "B");
            report.add("table heap", subject, "product", HeapUse.bytesOf(() -> parseUnchecked(csv)) / 1e6, "MB");
            report.add("table parse", subject, "product", parseMillis(csv), "ms");
            report.add("route look-up", subject, "product", routeNanos(table, rows, seed), "ns");
            report.add("workspace look-up", subject, "product", workspaceNanos(table, rows, seed), "ns");
        }
    }

    /** Returns a table whose rows are 45 % routes, 53.3 % workspaces and the rest services. */
    static byte[] csvOf(int rows) {
        int services = rows * 590 / 35_590;
        int routes = routesOf(rows);
        StringBuilder csv = new StringBuilder(
                "row,weight,guarantee_percent,queue_limit,timeout_ms,floor_percent,slots,connections,retry_percent,"
                        + "service,rank,request_limit\n");
        for (int i = 0; i < services; i++) {
            csv.append("service:service-").append(i).append(",,,,,50,3,330,10,,,\n");
        }
        csv.append("rank:urgent,1,50,1000,5000,,,,,,,\n");
        csv.append("rank:standard,1,20,1000,10000,,,,,,,\n");
        csv.append("rank:bulk,1,10,1000,30000,,,,,,,\n");
        for (int i = 0; i < routes; i++) {
            csv.append("route:/region/app-")
                    .append(i)
                    .append("/api,,,,,,,,,service-")
                    .append(i % services);
            csv.append(",standard,\n");
        }
        for (int i = services + 3 + routes; i < rows; i++) {
            csv.append("workspace:workspace-").append(i).append(",1,,,,,,,,,,50\n");
        }
        return csv.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static int routesOf(int rows) {
        return (int) (rows * 16_000L / 35_590);
    }

    private static Table parse(byte[] csv) throws BenchException {
        var result = TableCsv.read(csv);
        if (result.isLeft()) {
            throw new BenchException(
                    "the generated table is invalid: " + result.getLeft().get(0));
        }
        return result.get();
    }

    private static Table parseUnchecked(byte[] csv) {
        return TableCsv.read(csv).get();
    }

    private static double parseMillis(byte[] csv) {
        long bestNanos = Long.MAX_VALUE;
        for (int i = 0; i < PARSES; i++) {
            long startNanos = System.nanoTime();
            parseUnchecked(csv);
            bestNanos = Math.min(bestNanos, System.nanoTime() - startNanos);
        }
        return bestNanos / 1e6;
    }

    private static double routeNanos(Table table, int rows, long seed) throws BenchException {
        SplittableRandom random = new SplittableRandom(seed);
        int routes = routesOf(rows);
        List<String> paths = random.ints(LOOKUPS, 0, routes)
                .mapToObj(i -> "/region/app-" + i + "/api/orders/" + i)
                .toList();
        int found = 0;
        long startNanos = System.nanoTime();
        for (String path : paths) {
            found += table.route(path).isDefined() ? 1 : 0;
        }
        long elapsedNanos = System.nanoTime() - startNanos;
        if (found != LOOKUPS) {
            throw new BenchException("only " + found + " of " + LOOKUPS + " routes were found");
        }
        return elapsedNanos / (double) LOOKUPS;
    }

    private static double workspaceNanos(Table table, int rows, long seed) throws BenchException {
        SplittableRandom random = new SplittableRandom(seed);
        List<WorkspaceId> ids = random.ints(LOOKUPS, rows - rows / 2, rows)
                .mapToObj(i -> new WorkspaceId("workspace-" + i))
                .toList();
        int found = 0;
        long startNanos = System.nanoTime();
        for (WorkspaceId id : ids) {
            found += table.workspace(id).isDefined() ? 1 : 0;
        }
        long elapsedNanos = System.nanoTime() - startNanos;
        if (found != LOOKUPS) {
            throw new BenchException("only " + found + " of " + LOOKUPS + " workspaces were found");
        }
        return elapsedNanos / (double) LOOKUPS;
    }
}
