package org.heatherreach.bench.slot;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;
import org.heatherreach.state.rank.Rank;

/** Measures the service by rank without and with floods, for the services of both sites. Stateless. */
public final class Floods implements Benchmark {
    private static final String PRODUCT = "product";

    private static final List<Workload> WORKLOADS = List.of(
            Workload.CALM, Workload.BULK_FLOOD, Workload.URGENT_FLOOD, Workload.SYNCHRONIZED, Workload.RETRY_STORM);

    @Override
    public String name() {
        return "floods";
    }

    @Override
    public String description() {
        return "service share and latency by rank with 15 daemons, calm, flooded, synchronized and in a retry storm";
    }

    @Override
    public void run(long seed, BenchReport report) {
        // Each trial is confined to one thread and depends only on the seed, so they may run side by side.
        List<Map<Workload, TrialResult>> results = IntStream.range(0, 2 * Site.ALL.size())
                .parallel()
                .mapToObj(i -> runAll(Site.ALL.get(i / 2), i % 2 == 0, seed))
                .toList();
        for (int i = 0; i < results.size(); i++) {
            for (Workload workload : WORKLOADS) {
                TrialResult calm = results.get(i).get(Workload.CALM);
                String variant = i % 2 == 0 ? "baseline" : PRODUCT;
                add(
                        report,
                        Site.ALL.get(i / 2),
                        workload,
                        variant,
                        results.get(i).get(workload),
                        calm);
            }
        }
    }

    private static Map<Workload, TrialResult> runAll(Site site, boolean naive, long seed) {
        Map<Workload, TrialResult> results = new HashMap<>();
        for (Workload workload : WORKLOADS) {
            results.put(workload, new FleetTrial(site, workload, naive, seed).run());
        }
        return results;
    }

    private static void add(
            BenchReport report, Site site, Workload workload, String variant, TrialResult result, TrialResult calm) {
        String subject = site.name();
        for (Rank rank : Rank.values()) {
            int i = rank.ordinal();
            String prefix = workload.name() + " " + rank.label() + " ";
            double capacityNanos = result.windowNanos * site.totalSlots();
            report.add(prefix + "served", subject, variant, percent(result.served[i], result.offered[i]), "%");
            report.add(prefix + "slots used", subject, variant, 100 * result.busyNanos[i] / capacityNanos, "%");
            report.add(prefix + "p50", subject, variant, result.latencies[i].getValueAtPercentile(50) / 1e3, "ms");
            report.add(prefix + "p99", subject, variant, result.latencies[i].getValueAtPercentile(99) / 1e3, "ms");
            report.add(prefix + "added p99", subject, variant, result.added[i].getValueAtPercentile(99) / 1e3, "ms");
            if (workload.floodRank() != null && workload.floodRank() != rank) {
                report.add(prefix + "served vs calm", subject, variant, percent(result.served[i], calm.served[i]), "%");
                double calmNanos = calm.latencies[i].getValueAtPercentile(99);
                double growth = 100 * (result.latencies[i].getValueAtPercentile(99) / calmNanos - 1);
                report.add(prefix + "p99 growth", subject, variant, growth, "%");
            }
            if (variant.equals(PRODUCT)) {
                double leased = percent(result.foundLeased[i], result.dispatched[i]);
                report.add(prefix + "leased", subject, variant, leased, "%");
            }
            if (workload.retries() > 0) {
                double perRequest = (double) result.attempts[i] / Math.max(1, result.offered[i]);
                report.add(prefix + "attempts", subject, variant, perRequest, "1");
            }
        }
        double seconds = result.windowNanos / 1e9;
        double perDaemon = 1 / seconds / Site.DAEMONS;
        String perSecond = "1/s/daemon";
        long messages = result.reports + result.grants + result.recalls;
        report.add(workload.name() + " messages", subject, variant, messages * perDaemon, perSecond);
        report.add(workload.name() + " reports", subject, variant, result.reports * perDaemon, perSecond);
        report.add(workload.name() + " grants", subject, variant, result.grants * perDaemon, perSecond);
        report.add(workload.name() + " recalls", subject, variant, result.recalls * perDaemon, perSecond);
        report.add(workload.name() + " bytes", subject, variant, result.messageBytes * perDaemon, "B/s/daemon");
        report.add(workload.name() + " shed by servers", subject, variant, result.sheds / seconds, "1/s");
    }

    private static double percent(long part, long whole) {
        return whole == 0 ? 0 : 100.0 * part / whole;
    }
}
