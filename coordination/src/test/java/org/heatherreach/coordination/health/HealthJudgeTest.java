package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

class HealthJudgeTest {
    private static final ServiceId SERVICE = new ServiceId("certdesk");
    private static final int SERVERS = 12;
    private static final int DAEMONS = 9;
    private static final int ZONES = 3;
    private static final long TICK = EvidenceWindow.INTERVAL_NANOS;

    private final HealthJudge judge = new HealthJudge(SERVICE, 0);
    private final Random random = new Random(77);
    private final List<ServerId> servers = new ArrayList<>();
    private long nowNanos;
    /** Each daemon uses two servers in three in a window, with one request each. */
    private double chance = 2.0 / 3;

    HealthJudgeTest() {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerId(String.format("server-%02d", i)));
        }
        judge.updateServers(servers, 0);
    }

    // Guards against a slow server that stays in use, and against peers ejected beside it.
    @Example
    void ejectsASlowServerAndNoOther() {
        run(20, healthy());
        run(8, slowServer(4));
        assertThat(shares()).containsExactly(servers.get(4) + "=0");
    }

    // Guards against a server that fails three requests in ten and stays in use.
    @Example
    void ejectsAFailingServerAndNoOther() {
        run(20, healthy());
        run(12, failingServer(4, 0.3));
        assertThat(shares()).containsExactly(servers.get(4) + "=0");
    }

    // Guards against a few successes in one zone that keep a failing server in use for it, as if links had been cut.
    @Example
    void fewSuccessesInOneZoneKeepNoFailingServerInUse() {
        run(200, healthy());
        report(1, 3, 1);
        report(2, 5, 0);
        for (int i = 0; i < 6 && judge.verdicts(nowNanos).isEmpty(); i++) {
            report(0, 1, 1);
            step(withoutServer(4));
        }
        assertThat(shares()).containsExactly(servers.get(4) + "=0");
    }

    // Guards against an ejection on a single bad window, such as a pause of a healthy server.
    @Example
    void oneBadWindowEjectsNothing() {
        run(20, healthy());
        run(1, slowServer(4));
        run(10, healthy());
        assertThat(shares()).isEmpty();
    }

    // Guards against ejections when the service as a whole is slow or failing, which has no outlier.
    @Example
    void slowServiceHasNoOutlier() {
        run(20, healthy());
        run(40, (daemon, server) -> new Sample(7, 0));
        assertThat(shares()).isEmpty();
        run(40, (daemon, server) -> new Sample(4, 0.5));
        assertThat(shares()).isEmpty();
    }

    // Guards against a cut between one zone and a server that takes the server from every zone.
    @Example
    void faultSeenFromOneZoneIsJudgedForThatZone() {
        run(20, healthy());
        run(12, (daemon, server) -> new Sample(4, server == 4 && daemon % ZONES == 1 ? 1 : 0));
        List<Verdict> verdicts = judge.verdicts(nowNanos);
        assertThat(verdicts).hasSize(1);
        assertThat(verdicts.get(0).server()).isEqualTo(servers.get(4));
        assertThat(verdicts.get(0).observerZone()).contains(zone(1));
    }

    // Guards against a daemon with a fault of its own that convicts healthy servers, however often its exchanges fail.
    @Property(seed = "31", tries = 200, edgeCases = EdgeCasesMode.NONE)
    void faultyObserverIsIgnoredAndTold(
            @ForAll @DoubleRange(min = 0.3, max = 0.8) double ratio,
            @ForAll @DoubleRange(min = 0.3, max = 12) double serversPerReport,
            @ForAll long seed) {
        random.setSeed(seed);
        chance = serversPerReport / (double) SERVERS;
        run(80, healthy());
        boolean told = false;
        for (int i = 0; i < 400; i++) {
            JudgeResult result = step((daemon, server) -> new Sample(4, daemon == 2 ? ratio : 0));
            told |= result.outliers().contains(observer(2));
            assertThat(result.outliers()).isSubsetOf(observer(2));
            assertThat(judge.verdicts(nowNanos)).isEmpty();
        }
        assertThat(told).isTrue();
    }

    // Guards against a new server that is ejected for the latency of its cold start, and against a grace without end.
    @Example
    void newServerHasAGracePeriodForItsLatency() {
        run(20, healthy());
        servers.add(new ServerId("server-new"));
        judge.updateServers(servers, nowNanos);
        run(20, slowServer(SERVERS));
        assertThat(shares()).isEmpty();
        run((int) (HealthJudge.GRACE_NANOS / TICK), slowServer(SERVERS));
        assertThat(shares()).containsExactly("server-new=0");
    }

    // Guards against readmission at once, and against a flapping server that is ejected as shortly as the first time.
    @Example
    void readmissionIsStagedAndRepeatedEjectionsLastLonger() {
        run(20, healthy());
        long first = ejectAndMeasure();
        assertThat(shares()).containsExactly(servers.get(4) + "=10");
        run(21, withoutServer(4));
        assertThat(shares()).containsExactly(servers.get(4) + "=30");
        run(21, withoutServer(4));
        assertThat(shares()).containsExactly(servers.get(4) + "=100");
        long second = ejectAndMeasure();
        assertThat(second).isGreaterThanOrEqualTo(2 * first - 2 * TICK);
        for (int i = 0; i < 6; i++) {
            assertThat(ejectAndMeasure()).isLessThanOrEqualTo(Ejection.MAX_NANOS + TICK);
        }
    }

    // Guards against a crash of an identified request that keeps its server out of use.
    @Example
    void excuseLiftsTheEjection() {
        run(20, healthy());
        long crashNanos = nowNanos;
        run(10, slowServer(4));
        assertThat(shares()).containsExactly(servers.get(4) + "=0");
        judge.excuse(servers.get(4), crashNanos, nowNanos);
        assertThat(shares()).containsExactly(servers.get(4) + "=100");
        run(10, failingServer(4, 1));
        assertThat(shares()).containsExactly(servers.get(4) + "=100");
    }

    // Guards against probes that decide: a good one must not shorten an ejection, a failing one only delays its end.
    @Example
    void probesAreSecondaryEvidence() {
        run(20, healthy());
        run(10, slowServer(4));
        for (int i = 0; i < 20; i++) {
            judge.probe(servers.get(4), true, nowNanos);
            step(withoutServer(4));
        }
        assertThat(shares()).containsExactly(servers.get(4) + "=0");
        for (int i = 0; i < 400; i++) {
            judge.probe(servers.get(4), false, nowNanos);
            step(withoutServer(4));
        }
        assertThat(shares()).containsExactly(servers.get(4) + "=0");
        for (int i = 0; i < 40; i++) {
            judge.probe(servers.get(4), true, nowNanos);
            step(withoutServer(4));
        }
        assertThat(shares()).isNotEqualTo(List.of(servers.get(4) + "=0"));
        // A single failing probe of a server with traffic changes nothing.
        judge.probe(servers.get(5), false, nowNanos);
        run(4, healthy());
        assertThat(judge.verdicts(nowNanos))
                .noneMatch(verdict -> verdict.server().equals(servers.get(5)));
    }

    private interface Behaviour {
        /** Returns what a daemon sees of a server; null for no traffic. */
        Sample of(int daemon, int server);
    }

    private record Sample(int bucket, double failureRatio) {}

    private static Behaviour healthy() {
        return (daemon, server) -> new Sample(4, 0);
    }

    private static Behaviour slowServer(int slow) {
        return (daemon, server) -> new Sample(server == slow ? 7 : 4, 0);
    }

    private static Behaviour failingServer(int failing, double ratio) {
        return (daemon, server) -> new Sample(4, server == failing ? ratio : 0);
    }

    private static Behaviour withoutServer(int absent) {
        return (daemon, server) -> server == absent ? null : new Sample(4, 0);
    }

    /** Makes a server slow until it is ejected and returns how long it is fully out of use. */
    private long ejectAndMeasure() {
        while (!shares().contains(servers.get(4) + "=0")) {
            step(slowServer(4));
        }
        long begin = nowNanos;
        while (shares().contains(servers.get(4) + "=0")) {
            step(withoutServer(4));
            assertThat(nowNanos - begin).isLessThan(TimeUnit.MINUTES.toNanos(10));
        }
        return nowNanos - begin;
    }

    private void run(int ticks, Behaviour behaviour) {
        for (int i = 0; i < ticks; i++) {
            step(behaviour);
        }
    }

    private JudgeResult step(Behaviour behaviour) {
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            List<ServerEvidence> evidence = new ArrayList<>();
            for (int server = 0; server < servers.size(); server++) {
                Sample sample = behaviour.of(daemon, server);
                if (sample != null && random.nextDouble() < chance) {
                    int[] latencies = new int[LatencyBuckets.COUNT];
                    latencies[sample.bucket + random.nextInt(2)]++;
                    int errors = random.nextDouble() < sample.failureRatio ? 1 : 0;
                    evidence.add(new ServerEvidence(servers.get(server), 1, errors, 0, 0, 0, latencies));
                }
            }
            judge.report(observer(daemon), new HealthReport(SERVICE, 0, zone(daemon), evidence), nowNanos);
        }
        nowNanos += TICK;
        return judge.tick(nowNanos);
    }

    private void report(int daemon, int requests, int errors) {
        ServerEvidence evidence =
                new ServerEvidence(servers.get(4), requests, errors, 0, 0, 0, new int[LatencyBuckets.COUNT]);
        judge.report(observer(daemon), new HealthReport(SERVICE, 0, zone(daemon), List.of(evidence)), nowNanos);
    }

    private List<String> shares() {
        return judge.verdicts(nowNanos).stream()
                .filter(verdict -> verdict.observerZone().equals(Optional.empty()))
                .map(verdict -> verdict.server() + "=" + verdict.sharePercent())
                .toList();
    }

    private static IncarnationId observer(int daemon) {
        return new IncarnationId(daemon + 1L);
    }

    private static ZoneId zone(int daemon) {
        return new ZoneId("z" + daemon % ZONES);
    }
}
