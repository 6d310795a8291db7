package org.heatherreach.bench.detection;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;

/**
 * Measures how fast failing servers are out of use and how often healthy ones are ejected by mistake, for each service
 * of both sites with 15 daemons, with the naive version under the same seeds. Stateless.
 */
public final class DetectionBenchmark implements Benchmark {
    private static final int TRIALS = 100;
    private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(12);
    private static final long FLAPPING_NANOS = TimeUnit.SECONDS.toNanos(300);
    private static final int HOURS = 2;
    private static final long HOUR_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final List<Fault> TIMED =
            List.of(Fault.SLOW, Fault.ERRORS, Fault.TRUNCATING, Fault.STALLING, Fault.ONE_ZONE);
    private static final List<Fault> UNTIMED = List.of(Fault.WHOLE_SLOW, Fault.FAULTY_DAEMON, Fault.COLD_START);

    /** Creates the benchmark. */
    public DetectionBenchmark() {}

    @Override
    public String name() {
        return "detection";
    }

    @Override
    public String description() {
        return "Time to detect failing servers and healthy servers ejected by mistake, on a virtual clock";
    }

    @Override
    public void run(long seed, BenchReport report) {
        for (SiteService site : SiteService.ALL) {
            for (boolean naive : new boolean[] {true, false}) {
                String variant = naive ? "baseline" : "product";
                TIMED.forEach(fault -> measureTimed(site, fault, naive, seed, report, variant));
                UNTIMED.forEach(fault -> measureUntimed(site, fault, naive, seed, report, variant));
                measureFlapping(site, naive, seed, report, variant);
            }
        }
        measureHours(seed, report);
    }

    private static void measureTimed(
            SiteService site, Fault fault, boolean naive, long seed, BenchReport report, String variant) {
        List<TrialResult> results = runTrials(site, fault, naive, seed, TRIALS, TRIAL_NANOS, true);
        double[] seconds = results.stream()
                .mapToDouble(result -> result.detectNanos() / 1e9)
                .sorted()
                .toArray();
        String metric = fault.label();
        String subject = site.label();
        report.add(metric + " detection median", subject, variant, quantile(seconds, 0.5), "s");
        report.add(metric + " detection 99th", subject, variant, quantile(seconds, 0.99), "s");
        report.add(metric + " not detected", subject, variant, 100 * mean(results, r -> r.detected() ? 0 : 1), "%");
        report.add(
                metric + " harmed requests", subject, variant, mean(results, TrialResult::harmedRequests), "requests");
        report.add(
                metric + " mistaken ejections",
                subject,
                variant,
                mean(results, TrialResult::mistakenEjections),
                "servers");
    }

    private static void measureUntimed(
            SiteService site, Fault fault, boolean naive, long seed, BenchReport report, String variant) {
        List<TrialResult> results = runTrials(site, fault, naive, seed, TRIALS / 4, TRIAL_NANOS, false);
        String metric = fault.label();
        String subject = site.label();
        report.add(
                metric + " mistaken ejections",
                subject,
                variant,
                mean(results, TrialResult::mistakenEjections),
                "servers");
        report.add(
                metric + " fewest servers in use",
                subject,
                variant,
                results.stream().mapToInt(TrialResult::minUsableServers).min().orElse(0),
                "servers");
        report.add(metric + " floor breaches", subject, variant, mean(results, TrialResult::floorBreaches), "changes");
        if (fault == Fault.FAULTY_DAEMON) {
            report.add(metric + " outliers found", subject, variant, mean(results, TrialResult::outliers), "daemons");
        }
    }

    private static void measureFlapping(
            SiteService site, boolean naive, long seed, BenchReport report, String variant) {
        List<TrialResult> results = runTrials(site, Fault.FLAPPING, naive, seed, TRIALS / 20, FLAPPING_NANOS, false);
        String subject = site.label();
        report.add("flapping use while bad", subject, variant, mean(results, TrialResult::badUsePercent), "%");
        report.add(
                "flapping harmed requests", subject, variant, mean(results, TrialResult::harmedRequests), "requests");
        report.add(
                "flapping mistaken ejections",
                subject,
                variant,
                mean(results, TrialResult::mistakenEjections),
                "servers");
    }

    private static void measureHours(long seed, BenchReport report) {
        for (SiteService site : SiteService.ALL) {
            for (boolean naive : new boolean[] {true, false}) {
                String variant = naive ? "baseline" : "product";
                String subject = site.label();
                List<TrialResult> results = runTrials(site, Fault.NONE, naive, seed, HOURS, HOUR_NANOS, false);
                report.add(
                        "healthy hour mistaken ejections",
                        subject,
                        variant,
                        mean(results, TrialResult::mistakenEjections),
                        "servers/h");
                report.add(
                        "healthy hour requests",
                        subject,
                        variant,
                        mean(results, TrialResult::servedRequests),
                        "requests/h");
                report.add(
                        "healthy hour floor breaches",
                        subject,
                        variant,
                        mean(results, TrialResult::floorBreaches),
                        "changes/h");
            }
        }
    }

    /** Runs trials in parallel; each has its own seed, so the order of execution has no effect. */
    private static List<TrialResult> runTrials(
            SiteService site, Fault fault, boolean naive, long seed, int trials, long lengthNanos, boolean stop) {
        return IntStream.range(0, trials)
                .parallel()
                .mapToObj(trial ->
                        new DetectionTrial(site, fault, naive, seed * 1_000_003 + trial, lengthNanos).run(stop))
                .toList();
    }

    private static double mean(List<TrialResult> results, ToDoubleFunction<TrialResult> value) {
        return results.stream().mapToDouble(value).average().orElse(0);
    }

    private static double quantile(double[] sorted, double share) {
        return sorted[Math.min(sorted.length - 1, (int) Math.ceil(share * sorted.length) - 1)];
    }
}
