package org.heatherreach.bench.slot;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.vavr.control.Option;
import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;
import org.heatherreach.coordination.slot.LeasedSlotPool;
import org.heatherreach.coordination.slot.LedgerAction;
import org.heatherreach.coordination.slot.NaiveSlotPool;
import org.heatherreach.coordination.slot.RankDemand;
import org.heatherreach.coordination.slot.SlotAction;
import org.heatherreach.coordination.slot.SlotGrant;
import org.heatherreach.coordination.slot.SlotHolding;
import org.heatherreach.coordination.slot.SlotLease;
import org.heatherreach.coordination.slot.SlotLedger;
import org.heatherreach.coordination.slot.SlotPool;
import org.heatherreach.coordination.slot.SlotReport;
import org.heatherreach.coordination.slot.SlotRequest;
import org.heatherreach.coordination.slot.SlotServer;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Measures the processor time of the decision logic: of the owner per report and per rebalancing, and of a daemon per
 * served and per refused request, against the number of servers and daemons. Stateless.
 */
public final class SlotCost implements Benchmark {
    private static final int[][] SIZES = {{14, 15}, {64, 60}, {128, 220}, {256, 880}};
    private static final int SLOTS = 3;
    private static final int CONNECTIONS = 330;
    private static final int ROUNDS = 6;
    private static final int POOL_REQUESTS = 200_000;
    private static final int WARM_UP_RUNS = 4;
    private static final IncarnationId OWNER = new IncarnationId(1);

    @Override
    public String name() {
        return "slotcost";
    }

    @Override
    public String description() {
        return "processor time per report, rebalancing, served and refused request by servers and daemons";
    }

    @Override
    public void run(long seed, BenchReport report) {
        for (int[] size : SIZES) {
            String subject = size[0] + " servers " + size[1] + " daemons";
            measureLedger(size[0], size[1], seed, subject, report);
        }
        for (int[] size : SIZES) {
            String subject = size[0] + " servers";
            for (boolean naive : new boolean[] {true, false}) {
                String variant = naive ? "baseline" : "product";
                // Earlier runs let the compiler finish; only the last one counts.
                for (int i = 0; i < WARM_UP_RUNS; i++) {
                    measurePool(size[0], naive, seed);
                }
                double[] nanos = measurePool(size[0], naive, seed);
                report.add("served request", subject, variant, nanos[0] / 1e3, "us");
                report.add("refused request", subject, variant, nanos[1] / 1e3, "us");
                report.add("refused relative to served", subject, variant, 100 * nanos[1] / nanos[0], "%");
            }
        }
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static ServiceLimits limits() {
        return new ServiceLimits(new ServiceId("s"), 60, SLOTS, CONNECTIONS, 10);
    }

    private static List<SlotServer> servers(int count) {
        List<SlotServer> listed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            listed.add(new SlotServer(new ServerId("server-" + i), new ZoneId("z" + i % Site.ZONES), 100));
        }
        return listed;
    }

    /** The state that one daemon would report, kept up to date with the messages of the ledger. */
    private static final class Reporter {
        final Map<ServerId, Integer> held = new HashMap<>();
        long number;
        long applied;

        void take(LedgerAction action) {
            List<SlotLease> leases = action instanceof LedgerAction.SendGrant grant
                    ? grant.grant().leases()
                    : ((LedgerAction.SendRecall) action).recall().leases();
            long sequence = action instanceof LedgerAction.SendGrant grant
                    ? grant.grant().sequence()
                    : ((LedgerAction.SendRecall) action).recall().sequence();
            if (sequence > applied) {
                applied = sequence;
                leases.forEach(lease -> held.put(lease.server(), lease.count()));
                held.values().removeIf(count -> count == 0);
            }
        }

        SlotReport report(SplittableRandom random) {
            List<SlotHolding> holdings = new ArrayList<>();
            int[] running = new int[3];
            held.forEach((server, count) -> {
                int inUse = random.nextInt(count + 1);
                holdings.add(new SlotHolding(server, count, inUse));
                running[random.nextInt(3)] += inUse;
            });
            List<RankDemand> demand = new ArrayList<>();
            for (Rank rank : Rank.values()) {
                int queued = random.nextInt(10) == 0 ? 1 : 0;
                demand.add(new RankDemand(rank, queued, running[rank.ordinal()], 1 + random.nextInt(5)));
            }
            return new SlotReport(new ServiceId("s"), 0, holdings, demand, ++number, applied);
        }
    }

    private static void measureLedger(int servers, int daemons, long seed, String subject, BenchReport report) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<IncarnationId, ZoneId> members = new HashMap<>();
        List<IncarnationId> ids = new ArrayList<>();
        Map<IncarnationId, Reporter> reporters = new HashMap<>();
        for (int i = 0; i < daemons; i++) {
            IncarnationId id = new IncarnationId(random.nextLong());
            ids.add(id);
            members.put(id, new ZoneId("z" + i % Site.ZONES));
            reporters.put(id, new Reporter());
        }
        SlotLedger ledger = new SlotLedger(limits(), Site.rankLimits(), 0, 0);
        ledger.onServers(servers(servers), 0);
        long memberStartNanos = cpuNanos();
        ledger.onMembers(members, 0);
        long memberNanos = cpuNanos() - memberStartNanos;
        long reportNanos = 0;
        long rebalanceNanos = 0;
        long reports = 0;
        long messages = 0;
        int rebalances = 0;
        int warmUpRounds = Math.max(10, 4_000 / daemons);
        int rounds = warmUpRounds + ROUNDS * Math.max(1, 880 / daemons);
        long nowNanos = 0;
        for (int round = 0; round < rounds; round++) {
            boolean measured = round >= warmUpRounds;
            nowNanos += LeasedSlotPool.REPORT_INTERVAL_NANOS;
            long tickStartNanos = cpuNanos();
            List<LedgerAction> actions = ledger.tick(nowNanos);
            if (measured) {
                rebalanceNanos += cpuNanos() - tickStartNanos;
                rebalances++;
                messages += actions.size();
            }
            actions.forEach(action -> reporters.get(action.daemon()).take(action));
            for (IncarnationId id : ids) {
                SlotReport message = reporters.get(id).report(random);
                long startNanos = cpuNanos();
                actions = ledger.onReport(id, message, nowNanos);
                if (measured) {
                    reportNanos += cpuNanos() - startNanos;
                    reports++;
                    messages += actions.size();
                }
                actions.forEach(action -> reporters.get(action.daemon()).take(action));
            }
        }
        report.add("report", subject, "product", reportNanos / 1e3 / reports, "us");
        report.add("grants and recalls per report", subject, "product", (double) messages / reports, "1");
        report.add("rebalancing", subject, "product", rebalanceNanos / 1e3 / rebalances, "us");
        double perSecond =
                (double) (reportNanos + rebalanceNanos) / rebalances * 1e9 / LeasedSlotPool.REPORT_INTERVAL_NANOS;
        report.add("owner with a report each 250 ms", subject, "product", perSecond / 1e7, "% core");
        report.add("change of members", subject, "product", memberNanos / 1e3, "us");
    }

    /** Returns the processor time per served and per refused request. */
    private static double[] measurePool(int servers, boolean naive, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long nowNanos = 0;
        SlotPool pool = naive
                ? new NaiveSlotPool(limits(), Site.rankLimits(), random, nowNanos)
                : new LeasedSlotPool(
                        limits(), Site.rankLimits(), 0, new ZoneId("z0"), workspace -> 0, random, nowNanos);
        pool.onServers(servers(servers), 1, nowNanos);
        pool.onOwner(OWNER, nowNanos);
        List<SlotLease> leases = new ArrayList<>();
        servers(servers).forEach(server -> leases.add(new SlotLease(server.server(), SLOTS)));
        int capacity = servers * SLOTS;
        List<Integer> caps = List.of(capacity, capacity, capacity);
        List<RequestId> ids = new ArrayList<>();
        for (int i = 0; i < 2 * POOL_REQUESTS; i++) {
            ids.add(new RequestId("request-" + i));
        }
        Deque<RequestId> running = new ArrayDeque<>();
        long sequence = 0;
        long servedStartNanos = cpuNanos();
        for (int i = 0; i < POOL_REQUESTS; i++) {
            nowNanos += 100_000;
            List<SlotAction> actions = pool.submit(request(ids.get(i), nowNanos + 5_000_000_000L), nowNanos);
            running.add(ids.get(i));
            if (running.size() * 2 > capacity) {
                pool.complete(running.poll(), nowNanos);
            }
            if (i % 500 == 0) {
                actions = pool.tick(nowNanos);
            }
            for (SlotAction action : actions) {
                if (action instanceof SlotAction.SendReport sent) {
                    List<SlotLease> changed = sequence == 0 ? leases : List.of();
                    sequence = 1;
                    long number = sent.report().number();
                    pool.onGrant(
                            OWNER,
                            new SlotGrant(new ServiceId("s"), 0, changed, 2_000, number, 1, caps, capacity),
                            nowNanos);
                }
            }
        }
        long servedNanos = cpuNanos() - servedStartNanos;
        int refused = 0;
        long refusedStartNanos = cpuNanos();
        for (int i = 0; i < POOL_REQUESTS; i++) {
            SlotRequest request = request(ids.get(POOL_REQUESTS + i), nowNanos + 5_000_000_000L);
            for (SlotAction action : pool.submit(request, nowNanos)) {
                refused += action instanceof SlotAction.Refuse ? 1 : 0;
            }
        }
        long refusedNanos = cpuNanos() - refusedStartNanos;
        return new double[] {(double) servedNanos / POOL_REQUESTS, (double) refusedNanos / Math.max(1, refused)};
    }

    private static SlotRequest request(RequestId id, long deadlineNanos) {
        return new SlotRequest(id, Rank.STANDARD, deadlineNanos, Option.none(), server -> true);
    }
}
