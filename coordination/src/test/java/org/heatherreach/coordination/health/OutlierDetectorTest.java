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

class OutlierDetectorTest {
    private static final ServiceId SERVICE = new ServiceId("certdesk");
    private static final int SERVERS = 12;
    private static final int DAEMONS = 9;
    private static final int ZONES = 3;
    private static final long TICK_NANOS = EvidenceWindow.INTERVAL_NANOS;

    private final OutlierDetector detector = new OutlierDetector(SERVICE, 0);
    private final Random random = new Random(77);
    private final List<ServerId> servers = new ArrayList<>();
    private long nowNanos;
    /** The probability that a daemon sends a request to a server in a window. */
    private double trafficProbability = 2.0 / 3;

    OutlierDetectorTest() {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerId(String.format("server-%02d", i)));
        }
        detector.updateServers(servers, 0);
    }

    // Guards against a slow server that stays in use, and against the ejection of its healthy peers.
    @Example
    void ejectsASlowServerAndNoOther() {
        run(20, healthy());
        run(8, slowServer(4));
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=0");
    }

    // Guards against a server that fails three requests in ten and stays in use.
    @Example
    void ejectsAFailingServerAndNoOther() {
        run(20, healthy());
        run(12, failingServer(4, 0.3));
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=0");
    }

    // Guards against a failing server that stays in use because a few successes in one zone are mistaken for cut links
    // to the other zones.
    @Example
    void fewSuccessesInOneZoneDoNotPreventEjection() {
        run(200, healthy());
        reportOnServer4(1, 3, 1);
        reportOnServer4(2, 5, 0);
        for (int i = 0; i < 6 && detector.verdicts(nowNanos).isEmpty(); i++) {
            reportOnServer4(0, 1, 1);
            step(withoutServer(4));
        }
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=0");
    }

    // Guards against an ejection for a single slow window, such as a pause of a healthy server.
    @Example
    void singleSlowWindowEjectsNothing() {
        run(20, healthy());
        run(1, slowServer(4));
        run(10, healthy());
        assertThat(sharesForEveryZone()).isEmpty();
    }

    // Guards against ejections when the service as a whole is slow or failing, which has no outlier.
    @Example
    void uniformlySlowOrFailingServiceHasNoOutlier() {
        run(20, healthy());
        run(40, (daemon, server) -> new Observation(7, 0));
        assertThat(sharesForEveryZone()).isEmpty();
        run(40, (daemon, server) -> new Observation(4, 0.5));
        assertThat(sharesForEveryZone()).isEmpty();
    }

    // Guards against a cut between one zone and a server that gets the server ejected for every zone.
    @Example
    void faultSeenFromOneZoneEjectsForThatZoneOnly() {
        run(20, healthy());
        run(12, (daemon, server) -> new Observation(4, server == 4 && daemon % ZONES == 1 ? 1 : 0));
        List<Verdict> verdicts = detector.verdicts(nowNanos);
        assertThat(verdicts).hasSize(1);
        assertThat(verdicts.get(0).server()).isEqualTo(servers.get(4));
        assertThat(verdicts.get(0).observerZone()).contains(zone(1));
    }

    // Guards against a faulty daemon that gets healthy servers ejected, whatever share of its exchanges fails.
    @Property(seed = "31", tries = 200, edgeCases = EdgeCasesMode.NONE)
    void faultyObserverIsIgnoredAndNotified(
            @ForAll @DoubleRange(min = 0.3, max = 0.8) double ratio,
            @ForAll @DoubleRange(min = 0.3, max = 12) double serversPerReport,
            @ForAll long seed) {
        random.setSeed(seed);
        trafficProbability = serversPerReport / (double) SERVERS;
        run(80, healthy());
        boolean notified = false;
        for (int i = 0; i < 400; i++) {
            DetectionResult result = step((daemon, server) -> new Observation(4, daemon == 2 ? ratio : 0));
            notified |= result.outliers().contains(observer(2));
            assertThat(result.outliers()).isSubsetOf(observer(2));
            assertThat(detector.verdicts(nowNanos)).isEmpty();
        }
        assertThat(notified).isTrue();
    }

    // Guards against the ejection of a new server for the latency of its cold start, and against an endless grace
    // period.
    @Example
    void newServerHasAGracePeriodForItsLatency() {
        run(20, healthy());
        servers.add(new ServerId("server-new"));
        detector.updateServers(servers, nowNanos);
        run(20, slowServer(SERVERS));
        assertThat(sharesForEveryZone()).isEmpty();
        run((int) (OutlierDetector.COLD_START_GRACE_NANOS / TICK_NANOS), slowServer(SERVERS));
        assertThat(sharesForEveryZone()).containsExactly("server-new=0");
    }

    // Guards against readmission to full traffic at once, and against a flapping server whose further ejections last no
    // longer than the first.
    @Example
    void readmissionIsStagedAndRepeatedEjectionsLastLonger() {
        run(20, healthy());
        long firstNanos = ejectAndMeasureNanos();
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=10");
        run(21, withoutServer(4));
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=30");
        run(21, withoutServer(4));
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=100");
        long secondNanos = ejectAndMeasureNanos();
        assertThat(secondNanos).isGreaterThanOrEqualTo(2 * firstNanos - 2 * TICK_NANOS);
        for (int i = 0; i < 6; i++) {
            assertThat(ejectAndMeasureNanos()).isLessThanOrEqualTo(Ejection.MAX_EJECTION_NANOS + TICK_NANOS);
        }
    }

    // Guards against a server that stays ejected for a crash that an identified request caused.
    @Example
    void explainedCrashLiftsTheEjection() {
        run(20, healthy());
        long crashNanos = nowNanos;
        run(10, slowServer(4));
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=0");
        detector.suppressExplainedCrash(servers.get(4), crashNanos, nowNanos);
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=100");
        run(10, failingServer(4, 1));
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=100");
    }

    // Guards against probes that decide alone: a successful one must not shorten an ejection, a failing one only delays
    // its end.
    @Example
    void probesOnlyDelayReadmission() {
        run(20, healthy());
        run(10, slowServer(4));
        for (int i = 0; i < 20; i++) {
            detector.addProbeResult(servers.get(4), true, nowNanos);
            step(withoutServer(4));
        }
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=0");
        for (int i = 0; i < 400; i++) {
            detector.addProbeResult(servers.get(4), false, nowNanos);
            step(withoutServer(4));
        }
        assertThat(sharesForEveryZone()).containsExactly(servers.get(4) + "=0");
        for (int i = 0; i < 40; i++) {
            detector.addProbeResult(servers.get(4), true, nowNanos);
            step(withoutServer(4));
        }
        assertThat(sharesForEveryZone()).isNotEqualTo(List.of(servers.get(4) + "=0"));
        // A single failing probe of a server with traffic changes nothing.
        detector.addProbeResult(servers.get(5), false, nowNanos);
        run(4, healthy());
        assertThat(detector.verdicts(nowNanos))
                .noneMatch(verdict -> verdict.server().equals(servers.get(5)));
    }

    private interface ServerBehaviour {
        /** Returns what a daemon observes of a server; null for no traffic. */
        Observation of(int daemon, int server);
    }

    private record Observation(int bucket, double failureRatio) {}

    private static ServerBehaviour healthy() {
        return (daemon, server) -> new Observation(4, 0);
    }

    private static ServerBehaviour slowServer(int slow) {
        return (daemon, server) -> new Observation(server == slow ? 7 : 4, 0);
    }

    private static ServerBehaviour failingServer(int failing, double ratio) {
        return (daemon, server) -> new Observation(4, server == failing ? ratio : 0);
    }

    private static ServerBehaviour withoutServer(int absent) {
        return (daemon, server) -> server == absent ? null : new Observation(4, 0);
    }

    /** Makes a server slow until it is ejected and returns how long it gets no traffic. */
    private long ejectAndMeasureNanos() {
        while (!sharesForEveryZone().contains(servers.get(4) + "=0")) {
            step(slowServer(4));
        }
        long ejectionStartNanos = nowNanos;
        while (sharesForEveryZone().contains(servers.get(4) + "=0")) {
            step(withoutServer(4));
            assertThat(nowNanos - ejectionStartNanos).isLessThan(TimeUnit.MINUTES.toNanos(10));
        }
        return nowNanos - ejectionStartNanos;
    }

    private void run(int ticks, ServerBehaviour behaviour) {
        for (int i = 0; i < ticks; i++) {
            step(behaviour);
        }
    }

    private DetectionResult step(ServerBehaviour behaviour) {
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            List<ServerEvidence> evidence = new ArrayList<>();
            for (int server = 0; server < servers.size(); server++) {
                Observation observation = behaviour.of(daemon, server);
                if (observation != null && random.nextDouble() < trafficProbability) {
                    int[] latencies = new int[LatencyBuckets.COUNT];
                    latencies[observation.bucket + random.nextInt(2)]++;
                    int errors = random.nextDouble() < observation.failureRatio ? 1 : 0;
                    evidence.add(new ServerEvidence(servers.get(server), 1, errors, 0, 0, 0, latencies));
                }
            }
            detector.addReport(observer(daemon), new HealthReport(SERVICE, 0, zone(daemon), evidence), nowNanos);
        }
        nowNanos += TICK_NANOS;
        return detector.tick(nowNanos);
    }

    private void reportOnServer4(int daemon, int requests, int errors) {
        ServerEvidence evidence =
                new ServerEvidence(servers.get(4), requests, errors, 0, 0, 0, new int[LatencyBuckets.COUNT]);
        detector.addReport(observer(daemon), new HealthReport(SERVICE, 0, zone(daemon), List.of(evidence)), nowNanos);
    }

    private List<String> sharesForEveryZone() {
        return detector.verdicts(nowNanos).stream()
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
