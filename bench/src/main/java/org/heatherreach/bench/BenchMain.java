package org.heatherreach.bench;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.heatherreach.bench.capacity.ProcessCostBenchmark;
import org.heatherreach.bench.capacity.SlopesBenchmark;
import org.heatherreach.bench.capacity.TableCostBenchmark;
import org.heatherreach.bench.detection.CrashBenchmark;
import org.heatherreach.bench.detection.DetectionBenchmark;
import org.heatherreach.bench.detection.HealthCostBenchmark;
import org.heatherreach.bench.fault.FaultsBenchmark;
import org.heatherreach.bench.slot.Floods;
import org.heatherreach.bench.slot.SlotCost;
import org.heatherreach.bench.spread.OnceCostBenchmark;
import org.heatherreach.bench.spread.SpreadBenchmark;

/** Entry point of {@code bench}. Confined to the main thread. */
public final class BenchMain {
    private static final List<Benchmark> COSTS = List.of(
            new TableCostBenchmark(),
            new OnceCostBenchmark(),
            new SlotCost(),
            new HealthCostBenchmark(),
            new SpreadBenchmark(),
            new ProcessCostBenchmark());

    /** Run if no name is given. The slopes run every cost benchmark. */
    private static final List<Benchmark> STANDARD = List.of(
            new LatencyBenchmark(),
            new Floods(),
            new DetectionBenchmark(),
            new CrashBenchmark(),
            new FaultsBenchmark(),
            new SlopesBenchmark(COSTS));

    private static final List<Benchmark> BENCHMARKS =
            Stream.concat(STANDARD.stream(), COSTS.stream()).toList();

    @Parameter(names = "--seed", description = "Seed of every random choice")
    private long seed = 1;

    @Parameter(description = "Names of the benchmarks to run; all but the single costs by default")
    private List<String> only = new ArrayList<>();

    @Parameter(names = "--out", description = "Directory for results.json and summary.txt")
    private String outputDirectory = "build-results";

    @Parameter(names = "--list", description = "List the benchmarks and exit")
    private boolean list;

    @Parameter(names = "--plots", description = "Write one SVG bar chart for each metric", arity = 1)
    private boolean plots = true;

    @Parameter(
            names = "--page",
            description = "Markdown page whose generated part is replaced by the page that a benchmark wrote")
    private String page;

    @Parameter(names = "--help", help = true, description = "Show this help")
    private boolean help;

    private BenchMain() {}

    /** Runs the program; exits with 2 on bad arguments and with 1 if a benchmark failed. */
    public static void main(String[] args) {
        BenchMain program = new BenchMain();
        JCommander commander =
                JCommander.newBuilder().addObject(program).programName("bench").build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("bench: " + e.getMessage());
            System.exit(2);
        }
        if (program.help) {
            commander.usage();
            return;
        }
        System.exit(program.run());
    }

    private int run() {
        if (list) {
            BENCHMARKS.forEach(benchmark -> System.out.println(benchmark.name() + ": " + benchmark.description()));
            return 0;
        }
        for (String name : only) {
            if (BENCHMARKS.stream().noneMatch(benchmark -> benchmark.name().equals(name))) {
                System.err.println("bench: no benchmark is named " + name + "; see --list");
                return 2;
            }
        }
        BenchReport report = new BenchReport(seed);
        try {
            for (Benchmark benchmark : only.isEmpty() ? STANDARD : BENCHMARKS) {
                if (only.isEmpty() || only.contains(benchmark.name())) {
                    report.begin(benchmark.name());
                    benchmark.run(seed, report);
                }
            }
            report.write(Path.of(outputDirectory));
            if (page != null) {
                new GeneratedPart(Path.of(page)).replace(report.pages());
            }
            if (plots) {
                new BenchPlot(report.rows()).write(Path.of(outputDirectory));
            }
        } catch (BenchException e) {
            System.err.println("bench: " + e.getMessage());
            return 1;
        }
        System.out.print(report.summary());
        return 0;
    }
}
