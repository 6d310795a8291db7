package org.heatherreach.bench.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.heatherreach.bench.BenchException;
import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.BenchRow;
import org.heatherreach.bench.Benchmark;
import org.heatherreach.bench.LinearFit;

/**
 * Runs the cost benchmarks and fits a line through every value that was measured at four sizes or more. The value at the
 * size of the target is the fit, not a measurement, unless that size was measured. Confined to one thread.
 */
public final class SlopesBenchmark implements Benchmark {
    private static final int MIN_SIZES = 4;
    private static final Pattern SIZE = Pattern.compile("([0-9][0-9,]*) ([a-z]+)");

    /** Sizes of the target by the unit in the subject of a row. A part of a service has at most 256 servers. */
    private static final Map<String, Double> TARGET_SIZES = Map.of(
            "daemons", 880.0,
            "members", 880.0,
            "servers", 256.0,
            "rows", 35_600.0,
            "routes", 16_000.0,
            "workspaces", 19_000.0,
            "records", 16_000.0);

    private final List<Benchmark> costs;

    /** Creates a benchmark over the given cost benchmarks. */
    public SlopesBenchmark(List<Benchmark> costs) {
        this.costs = List.copyOf(costs);
    }

    @Override
    public String name() {
        return "slopes";
    }

    @Override
    public String description() {
        return "growth of processor time, memory and messages with the size, fitted over at least four sizes";
    }

    @Override
    public void run(long seed, BenchReport report) throws BenchException {
        for (Benchmark cost : costs) {
            BenchReport part = new BenchReport(seed);
            part.begin(cost.name());
            cost.run(seed, part);
            report.begin(cost.name());
            part.rows().forEach(row -> report.add(row.metric(), row.subject(), row.variant(), row.value(), row.unit()));
            report.begin(name());
            series(part.rows()).forEach(series -> fit(series, report));
        }
    }

    private static List<Series> series(List<BenchRow> rows) {
        Map<String, Series> found = new LinkedHashMap<>();
        for (BenchRow row : rows) {
            Matcher matcher = SIZE.matcher(row.subject());
            while (matcher.find()) {
                String rest = row.subject().substring(0, matcher.start())
                        + "# "
                        + matcher.group(2)
                        + row.subject().substring(matcher.end());
                String key = row.metric() + '|' + row.variant() + '|' + row.unit() + '|' + rest;
                Series series = found.computeIfAbsent(key, unused -> new Series(row, rest, matcher.group(2)));
                series.sizes.add(Double.parseDouble(matcher.group(1).replace(",", "")));
                series.values.add(row.value());
            }
        }
        return found.values().stream()
                .filter(series -> series.sizes.stream().distinct().count() >= MIN_SIZES)
                .toList();
    }

    private static void fit(Series series, BenchReport report) {
        LinearFit fit = LinearFit.of(toArray(series.sizes), toArray(series.values));
        String metric = series.sample.benchmark() + ": " + series.sample.metric();
        String unit = series.sample.unit();
        String variant = series.sample.variant();
        report.add(metric + ", slope", series.subject, variant, fit.slope(), unit + " each");
        report.add(metric + ", slope error", series.subject, variant, fit.slopeError(), unit + " each");
        Double target = TARGET_SIZES.get(series.sizeUnit);
        if (target != null) {
            report.add(metric + ", at " + target.intValue(), series.subject, variant, fit.valueAt(target), unit);
        }
    }

    private static double[] toArray(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }

    /** The values of one metric over sizes. */
    private static final class Series {
        private final BenchRow sample;
        private final String subject;
        private final String sizeUnit;
        private final List<Double> sizes = new ArrayList<>();
        private final List<Double> values = new ArrayList<>();

        Series(BenchRow sample, String subject, String sizeUnit) {
            this.sample = sample;
            this.subject = subject;
            this.sizeUnit = sizeUnit;
        }
    }
}
