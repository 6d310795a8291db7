package org.heatherreach.bench.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.heatherreach.bench.BenchException;
import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberList;
import org.heatherreach.coordination.member.MemberPacket;
import org.heatherreach.coordination.member.MemberSettings;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.TableBeacon;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

/** Measures membership and the spread of the table at four sizes. Holds no state between runs. */
public final class SpreadBenchmark implements Benchmark {
    private static final int ROWS = 1_000;
    private static final double LOSS = 0.001;
    private static final long LIMIT_MILLIS = FleetSimulation.seconds(60);

    /** One replacement each 86.4 s is 1,000 a day, and one change each 173 s is 500 a day. */
    private static final long REPLACE_MILLIS = 86_400;

    private static final int REPLACEMENTS = 2;

    private static final int NAIVE_LIMIT = 110;

    private static final List<Size> SIZES =
            List.of(new Size(15, 3, 1), new Size(110, 3, 1), new Size(440, 4, 2), new Size(880, 7, 2));

    @Override
    public String name() {
        return "spread";
    }

    @Override
    public String description() {
        return "Membership and table spread at 15 to 880 daemons: delays, traffic, detection, processor time, heap,"
                + " store calls";
    }

    @Override
    public void run(long seed, BenchReport report) throws BenchException {
        for (Size size : SIZES) {
            // The naive fleet pings everybody: 1.5 million packets a second at 880 daemons.
            if (size.daemons <= NAIVE_LIMIT) {
                measureNaive(seed, size, report);
            }
            measureProduct(seed, size, report);
        }
        measureHeap(report);
    }

    private static void measureProduct(long seed, Size size, BenchReport report) throws BenchException {
        Sink sink = new Sink(report, size, "product");
        FleetSimulation fleet = new FleetSimulation(false, seed, size.daemons, size.zones, size.regions, LOSS);
        fleet.write(ROWS);
        sink.delay("cold start until all see all", fleet.runUntilComplete(LIMIT_MILLIS));
        fleet.run(FleetSimulation.seconds(30));

        Traffic rest = fleet.resetTraffic();
        fleet.run(FleetSimulation.seconds(30));
        sink.traffic("at rest", rest, 30);
        sink.add("processor time per tick", rest.tickNanos / 1e3 / rest.ticks, "us");
        sink.add("processor time per packet", rest.packetNanos / 1e3 / rest.packetsHandled, "us");
        sink.add("processor share at rest", share(rest, size, 30), "%");
        sink.add("store calls at rest", rest.storeCalls / 30.0, "1/s");

        List<Long> delays = new ArrayList<>();
        long calls = 0;
        for (int i = 0; i < 10; i++) {
            Traffic traffic = fleet.resetTraffic();
            delays.add(change(fleet));
            fleet.run(FleetSimulation.seconds(3));
            calls += traffic.storeCalls;
        }
        sink.delay("change to last, median", median(delays));
        sink.delay("change to last, worst of 10", worst(delays));
        sink.add("store calls in 3 s after a change", calls / 10.0, "1");

        measureDetection(fleet, sink);
        measureFaults(fleet, seed, size, sink);
        measureChurn(fleet, seed, size, sink);
    }

    private static void measureDetection(FleetSimulation fleet, Sink sink) {
        List<Long> half = new ArrayList<>();
        List<Long> last = new ArrayList<>();
        List<Long> leaving = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            FleetSimulation.Node victim = fleet.nodes.get(fleet.nodes.size() - 1 - i);
            IncarnationId incarnation = victim.members.self().incarnation();
            victim.up = false;
            long others = fleet.nodes.size() - 1;
            long first = fleet.runUntil(() -> unaware(fleet, incarnation) * 2 <= others, LIMIT_MILLIS);
            half.add(first);
            last.add(first + fleet.runUntil(() -> unaware(fleet, incarnation) == 0, LIMIT_MILLIS));
            victim.start();
            fleet.run(FleetSimulation.seconds(10));
            IncarnationId next = victim.members.self().incarnation();
            victim.leave();
            leaving.add(fleet.runUntil(() -> unaware(fleet, next) == 0, LIMIT_MILLIS));
            fleet.run(FleetSimulation.seconds(5));
            victim.stop();
            victim.start();
            fleet.run(FleetSimulation.seconds(10));
        }
        sink.delay("dead daemon gone from half, median", median(half));
        sink.delay("dead daemon gone from all, median", median(last));
        sink.delay("dead daemon gone from all, worst of 3", worst(last));
        sink.delay("leaving daemon gone from all, worst of 3", worst(leaving));
    }

    private static void measureFaults(FleetSimulation fleet, long seed, Size size, Sink sink) {
        Random random = new Random(seed);
        int down = Math.min(27, size.daemons / 5);
        List<FleetSimulation.Node> victims = new ArrayList<>(fleet.nodes);
        Collections.shuffle(victims, random);
        victims = victims.subList(0, down);
        victims.forEach(node -> node.up = false);
        fleet.run(500);
        sink.delay("change to last, " + down + " just down", change(fleet));
        fleet.run(FleetSimulation.seconds(30));
        sink.delay("change to last, " + down + " down 30 s", change(fleet));
        victims.forEach(FleetSimulation.Node::start);
        sink.delay("all see all after restart of " + down, fleet.runUntilComplete(LIMIT_MILLIS));
        fleet.run(FleetSimulation.seconds(10));

        fleet.isolate(0);
        fleet.run(500);
        sink.delay("zone cut: change to last outside", change(fleet, 0));
        fleet.run(FleetSimulation.seconds(30));
        fleet.heal();
        sink.delay("zone cut: change to last after heal", fleet.runUntil(() -> isInForce(fleet, -1), LIMIT_MILLIS));
        sink.delay("zone cut: all see all after heal", fleet.runUntilComplete(LIMIT_MILLIS));
        fleet.run(FleetSimulation.seconds(10));

        fleet.cut(0, 1);
        fleet.run(500);
        sink.delay("one direction cut: change to last", change(fleet));
        fleet.run(FleetSimulation.seconds(30));
        sink.add("one direction cut: pairs not listed after 30 s", missing(fleet), "1");
        fleet.heal();
        fleet.run(FleetSimulation.seconds(30));

        for (int zone = 1; zone < size.zones; zone++) {
            fleet.cut(0, zone);
        }
        fleet.run(500);
        fleet.write(ROWS);
        long settled = fleet.runUntil(() -> isInForceOrIsolated(fleet), LIMIT_MILLIS);
        sink.delay("zone's sends cut: last in force or isolated", settled);
        fleet.heal();
        fleet.runUntilComplete(LIMIT_MILLIS);
        fleet.run(FleetSimulation.seconds(20));
    }

    private static void measureChurn(FleetSimulation fleet, long seed, Size size, Sink sink) {
        Random random = new Random(seed);
        Traffic churn = fleet.resetTraffic();
        for (int i = 0; i < REPLACEMENTS; i++) {
            FleetSimulation.Node victim = fleet.nodes.get(random.nextInt(size.daemons));
            if (i % 2 == 0) {
                victim.leave();
                fleet.run(FleetSimulation.seconds(12));
                victim.stop();
            } else {
                victim.up = false;
                fleet.run(FleetSimulation.seconds(12));
            }
            if (i % 2 == 0) {
                fleet.write(ROWS);
            }
            fleet.run(FleetSimulation.seconds(30));
            victim.start();
            fleet.run(REPLACE_MILLIS - FleetSimulation.seconds(42));
        }
        long seconds = REPLACE_MILLIS * REPLACEMENTS / 1_000;
        sink.traffic("1,000 replaced and 500 changes/day", churn, seconds);
        sink.add("processor share, same", share(churn, size, seconds), "%");
    }

    private static void measureNaive(long seed, Size size, BenchReport report) throws BenchException {
        Sink sink = new Sink(report, size, "naive");
        FleetSimulation fleet = new FleetSimulation(true, seed, size.daemons, size.zones, size.regions, LOSS);
        fleet.write(ROWS);
        sink.delay("cold start until all see all", fleet.runUntilComplete(LIMIT_MILLIS));
        int window = 10;
        Traffic rest = fleet.resetTraffic();
        fleet.run(FleetSimulation.seconds(window));
        sink.traffic("at rest", rest, window);
        sink.add("processor time per tick", rest.tickNanos / 1e3 / rest.ticks, "us");
        sink.add("processor time per packet", rest.packetNanos / 1e3 / rest.packetsHandled, "us");
        sink.add("processor share at rest", share(rest, size, window), "%");
        sink.add("store calls at rest", rest.storeCalls / 10.0, "1/s");
        sink.delay("change to last, median", change(fleet));
        fleet.cut(0, 1);
        fleet.run(FleetSimulation.seconds(30));
        sink.add("one direction cut: pairs not listed after 30 s", missing(fleet), "1");
    }

    private static void measureHeap(BenchReport report) {
        int known = 880;
        int lists = 40;
        List<MemberList> kept = new ArrayList<>();
        long before = usedBytes();
        for (int i = 0; i < lists; i++) {
            kept.add(filled(known));
        }
        double perMember = (usedBytes() - before) / (double) lists / known;
        report.add("heap per known member", known + " daemons", "product", perMember, "B");
        report.add("heap of a member list", known + " daemons", "product", perMember * known / 1e6, "MB");
        if (kept.size() != lists) {
            throw new IllegalStateException("lists were dropped during the measurement");
        }
    }

    private static MemberList filled(int known) {
        MemberList list = new MemberList(MemberSettings.standard(), member(1), List.of(), new Random(1), 0);
        MemberPacket.Kind kind = MemberPacket.Kind.ACK;
        TableBeacon beacon = new TableBeacon(0, TableBeacon.NEVER_CONFIRMED, false);
        for (int i = 2; i <= known; i++) {
            list.receive(new MemberPacket(kind, 0, member(i), 0, 0, beacon, List.of()), i);
        }
        // Enough sends to empty the queue of updates.
        for (int second = 1; second < 400; second++) {
            list.tick(second * 900_000_000L);
        }
        list.view();
        return list;
    }

    private static Member member(int number) {
        return new Member(
                new DaemonId("daemon-" + number),
                new IncarnationId(number * 7_919L),
                0,
                MemberState.ALIVE,
                new ZoneId("region-0-zone-" + number % 7),
                new RegionId("region-0"),
                new MemberAddress("10.10." + number / 200 + "." + (number % 200 + 20), 7_301),
                7_300,
                0);
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static long change(FleetSimulation fleet) {
        return change(fleet, -1);
    }

    private static long change(FleetSimulation fleet, int exceptZone) {
        fleet.write(ROWS);
        return fleet.runUntil(() -> isInForce(fleet, exceptZone), LIMIT_MILLIS);
    }

    private static boolean isInForce(FleetSimulation fleet, int exceptZone) {
        for (FleetSimulation.Node node : fleet.nodes) {
            if (node.up && node.zone != exceptZone && node.table.version() != fleet.storeVersion()) {
                return false;
            }
        }
        return true;
    }

    private static boolean isInForceOrIsolated(FleetSimulation fleet) {
        for (FleetSimulation.Node node : fleet.nodes) {
            if (node.up && !node.isolated && node.table.version() != fleet.storeVersion()) {
                return false;
            }
        }
        return true;
    }

    private static long unaware(FleetSimulation fleet, IncarnationId incarnation) {
        long count = 0;
        for (FleetSimulation.Node node : fleet.nodes) {
            boolean listed = node.members
                    .find(incarnation)
                    .map(member -> member.state().isLive())
                    .orElse(false);
            count += node.up && listed ? 1 : 0;
        }
        return count;
    }

    /** Returns the pairs of running daemons of which the first does not list the second. */
    private static long missing(FleetSimulation fleet) {
        long up = fleet.nodes.stream().filter(node -> node.up).count();
        long listed = 0;
        for (FleetSimulation.Node node : fleet.nodes) {
            listed += node.up ? node.members.view().live().size() : 0;
        }
        return up * up - listed;
    }

    private static double share(Traffic traffic, Size size, long seconds) {
        return 100.0 * (traffic.tickNanos + traffic.packetNanos) / 1e9 / seconds / size.daemons;
    }

    private static long median(List<Long> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    /** Returns the largest value, or a negative one if a measurement ran into its limit. */
    private static long worst(List<Long> values) {
        return Collections.min(values) < 0 ? -1 : Collections.max(values);
    }

    private record Size(int daemons, int zones, int regions) {}

    private record Sink(BenchReport report, Size size, String variant) {
        void add(String metric, double value, String unit) {
            report.add(metric, size.daemons + " daemons", variant, value, unit);
        }

        void delay(String metric, long millis) {
            // Charts take no infinite values.
            add(millis < 0 ? metric + " (limit)" : metric, (millis < 0 ? LIMIT_MILLIS : millis) / 1e3, "s");
        }

        void traffic(String metric, Traffic traffic, long seconds) {
            double daemonSeconds = (double) seconds * size.daemons;
            add(metric + ": datagrams sent", traffic.datagrams / daemonSeconds, "1/s");
            add(metric + ": datagram bytes sent", traffic.datagramBytes / daemonSeconds, "B/s");
            add(metric + ": frames sent", traffic.frames / daemonSeconds, "1/s");
            add(metric + ": frame bytes sent", traffic.frameBytes / daemonSeconds, "B/s");
            add(metric + ": most bytes sent by one", traffic.largestSentBytes() / (double) seconds, "B/s");
        }
    }
}
