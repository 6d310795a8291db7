package org.heatherreach.bench.detection;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;
import org.heatherreach.coordination.health.EvidenceWindow;
import org.heatherreach.coordination.health.HealthReport;
import org.heatherreach.coordination.health.NaiveHealth;
import org.heatherreach.coordination.health.OutlierDetector;
import org.heatherreach.coordination.health.ServerEvidence;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

/**
 * Measures processor time and bytes of a health report and processor time of a judge tick against the number of servers
 * of a part and of daemons. A full report names every server; a sparse one has the share of 120,000 requests a second
 * over 9,100 servers that falls on the part and the daemon at the size of section 1.4. Stateless.
 */
public final class HealthCostBenchmark implements Benchmark {
    private static final int[][] SIZES = {{16, 15}, {32, 55}, {64, 110}, {128, 440}, {256, 880}};
    private static final double REQUESTS_PER_SERVER_TICK = 120_000.0 / 9_100 / 4;
    private static final int WARM_UP_TICKS = 40;
    private static final int TICKS = 40;
    private static final ServiceId SERVICE = new ServiceId("certdesk");

    /** Creates the benchmark. */
    public HealthCostBenchmark() {}

    @Override
    public String name() {
        return "healthcost";
    }

    @Override
    public String description() {
        return "Processor time and bytes of health reports and judge ticks against servers and daemons";
    }

    @Override
    public void run(long seed, BenchReport report) {
        for (int[] size : SIZES) {
            measureWindow(size[0], seed, report);
            measureJudge(size[0], size[1], false, seed, report);
            measureJudge(size[0], size[1], true, seed, report);
        }
    }

    private static void measureWindow(int servers, long seed, BenchReport report) {
        List<ServerId> ids = servers(servers);
        EvidenceWindow window = new EvidenceWindow(SERVICE, 0, new ZoneId("zone-a"));
        NaiveHealth naive = new NaiveHealth(1_000_000_000L);
        RandomGenerator random = new SplittableRandom(seed);
        long reportNanos = 0;
        long naiveNanos = 0;
        long bytes = 0;
        for (int tick = 0; tick < WARM_UP_TICKS + TICKS; tick++) {
            long begin = cpuNanos();
            for (ServerId id : ids) {
                long exchange = window.begin(id, 0);
                long latency = 1_000_000L + random.nextLong(100_000_000L);
                window.responseHeadReceived(exchange, latency);
                window.complete(exchange, latency);
            }
            HealthReport made = window.collectReport(0).orElseThrow();
            long middle = cpuNanos();
            for (ServerId id : ids) {
                naive.complete(naive.begin(id, 0), 1_000_000L + random.nextLong(100_000_000L));
            }
            if (tick >= WARM_UP_TICKS) {
                reportNanos += middle - begin;
                naiveNanos += cpuNanos() - middle;
                bytes += frameBytes(made);
            }
        }
        String subject = servers + " servers";
        report.add("full report, with counting", subject, "baseline", naiveNanos / 1e3 / TICKS, "us");
        report.add("full report, with counting", subject, "product", reportNanos / 1e3 / TICKS, "us");
        report.add("full report", subject, "product", bytes / (double) TICKS, "bytes");
    }

    private static void measureJudge(int servers, int daemons, boolean sparse, long seed, BenchReport report) {
        List<ServerId> ids = servers(servers);
        RandomGenerator random = new SplittableRandom(seed);
        OutlierDetector judge = new OutlierDetector(SERVICE, 0);
        judge.updateServers(ids, 0);
        int entries = sparse ? (int) Math.max(1, REQUESTS_PER_SERVER_TICK * servers / daemons) : servers;
        List<HealthReport> reports = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            List<ServerEvidence> evidence = new ArrayList<>();
            int first = random.nextInt(servers);
            for (int j = 0; j < entries; j++) {
                int[] latencies = new int[16];
                latencies[4 + random.nextInt(3)] = 1;
                evidence.add(new ServerEvidence(ids.get((first + j) % servers), 1, 0, 0, 0, 0, latencies));
            }
            reports.add(new HealthReport(SERVICE, 0, new ZoneId("zone-" + i % 7), evidence));
        }
        long tickNanos = 0;
        for (int tick = 0; tick < WARM_UP_TICKS + TICKS; tick++) {
            long begin = cpuNanos();
            long now = tick * EvidenceWindow.INTERVAL_NANOS;
            for (int i = 0; i < daemons; i++) {
                judge.addReport(new IncarnationId(i + 1L), reports.get(i), now);
            }
            judge.tick(now);
            if (tick >= WARM_UP_TICKS) {
                tickNanos += cpuNanos() - begin;
            }
        }
        String subject = servers + " servers " + daemons;
        String kind = sparse ? "sparse" : "full";
        double micros = tickNanos / 1e3 / TICKS;
        report.add("judge tick, " + kind + " reports", subject, "product", micros, "us");
        report.add("judge, " + kind + " reports", subject, "product", micros * 4 / 1e4, "% of a core");
        report.add("bytes of a " + kind + " report", subject, "product", frameBytes(reports.get(0)), "bytes");
    }

    private static int frameBytes(HealthReport report) {
        org.heatherreach.protocol.peer.wire.HealthReport.Builder message =
                org.heatherreach.protocol.peer.wire.HealthReport.newBuilder()
                        .setService(report.service().value())
                        .setPart(report.part())
                        .setZone(report.zone().value());
        for (ServerEvidence evidence : report.evidence()) {
            org.heatherreach.protocol.peer.wire.ServerEvidence.Builder entry =
                    org.heatherreach.protocol.peer.wire.ServerEvidence.newBuilder()
                            .setServer(evidence.server().value())
                            .setRequests(evidence.requests())
                            .setErrors(evidence.errors())
                            .setTruncated(evidence.truncated())
                            .setStalled(evidence.stalled())
                            .setConnectFailures(evidence.connectFailures());
            for (int i = 0; i < 16; i++) {
                entry.addLatencyCounts(evidence.latencyCount(i));
            }
            message.addEvidence(entry);
        }
        return Frame.newBuilder()
                .setSender(Long.MAX_VALUE)
                .setHealthReport(message)
                .build()
                .getSerializedSize();
    }

    private static List<ServerId> servers(int count) {
        List<ServerId> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(new ServerId("certdesk-" + i));
        }
        return ids;
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
