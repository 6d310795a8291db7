package org.heatherreach.bench.detection;

import java.util.List;
import java.util.stream.IntStream;

import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;

/**
 * Measures how many crashes it takes until a crashing request is refused by every daemon, and what that costs innocent
 * requests, with the naive version under the same seeds. Stateless.
 */
public final class CrashBenchmark implements Benchmark {
    private static final int TRIALS = 60;

    /** Creates the benchmark. */
    public CrashBenchmark() {}

    @Override
    public String name() {
        return "crashes";
    }

    @Override
    public String description() {
        return "Crashes until a crashing request is refused everywhere, and innocent requests refused";
    }

    @Override
    public void run(long seed, BenchReport report) {
        for (SiteService site : SiteService.ALL) {
            for (int crashers = 1; crashers <= 2; crashers++) {
                for (boolean naive : new boolean[] {true, false}) {
                    measure(site, crashers, naive, seed, report);
                }
            }
        }
    }

    private static void measure(SiteService site, int crashers, boolean naive, long seed, BenchReport report) {
        List<CrashTrial.Result> results = IntStream.range(0, TRIALS)
                .parallel()
                .mapToObj(trial -> new CrashTrial(site, crashers, naive, seed * 1_000_003 + trial).run())
                .toList();
        String variant = naive ? "baseline" : "product";
        String prefix = crashers == 1 ? "one request: " : "two requests: ";
        String subject = site.label();
        int[] until = results.stream()
                .mapToInt(CrashTrial.Result::crashesWhenIdentified)
                .sorted()
                .toArray();
        report.add(prefix + "crashes median", subject, variant, until[(until.length - 1) / 2], "crashes");
        report.add(prefix + "crashes most", subject, variant, until[until.length - 1], "crashes");
        long open = results.stream().filter(result -> !result.identified()).count();
        report.add(prefix + "not identified in 59 s", subject, variant, open, "trials");
        report.add(
                prefix + "innocents refused",
                subject,
                variant,
                results.stream().mapToInt(CrashTrial.Result::innocentsRefused).sum(),
                "requests");
        report.add(
                prefix + "innocents held",
                subject,
                variant,
                results.stream().mapToInt(CrashTrial.Result::innocentsHeld).sum(),
                "requests");
        report.add(
                prefix + "innocents lost",
                subject,
                variant,
                results.stream().mapToLong(CrashTrial.Result::innocentsLost).sum(),
                "requests");
    }
}
