package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.heatherreach.standins.BackendServer;
import org.heatherreach.standins.BackendSettings;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.transport.http.FailureKind;

import static org.assertj.core.api.Assertions.assertThat;

class HealthDutyTest {
    private static final double FAILURE_SHARE = 0.7;
    private static final ServerId GRAY = new ServerId("server-3");
    private static final ServerId OTHER_GRAY = new ServerId("server-5");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<BackendServer> backends = new ArrayList<>();
    private final Random random = new Random(11);
    private List<FleetNode> nodes = List.of();
    private Set<ServerId> failing = Set.of();

    @AfterTry
    void close() {
        nodes.forEach(FleetNode::close);
        backends.forEach(BackendServer::close);
        group.shutdownGracefully();
    }

    // Guards against the loss of evidence, verdicts or shares between the request path, the owner and the scheduler.
    @Example
    void ejectsAGrayServerEverywhereAndReadmitsIt() {
        start(3, 8, 50);
        failing = Set.of(GRAY);
        awaitWithTraffic("ejection at every daemon", () -> nodes.stream().allMatch(node -> shareOf(node, GRAY) == 0));
        for (FleetNode node : nodes) {
            assertThat(node.status(GRAY).state()).isEqualTo("ejected");
            assertThat(node.status(GRAY).evidence()).contains("failures");
            assertThat(node.changeCount("ejected")).isEqualTo(1);
            // The share passes through the ring of the scheduler, so it takes effect later than the status.
            FleetNode.await("no dispatch to the ejected server", () -> {
                Set<ServerId> used = new HashSet<>();
                for (int i = 0; i < 20; i++) {
                    used.add(node.run());
                }
                return !used.contains(GRAY);
            });
        }
        failing = Set.of();
        awaitWithTraffic("readmission", () -> nodes.stream().allMatch(node -> shareOf(node, GRAY) == 100));
        for (FleetNode node : nodes) {
            assertThat(node.changeCount("restricted")).isEqualTo(2);
            assertThat(node.changeCount("readmitted")).isEqualTo(1);
            assertThat(node.status(GRAY).state()).isEqualTo("in-use");
        }
    }

    // Guards against ejections below the floor, also during the time between the messages with the verdicts.
    @Example
    void keepsTheFloorWhenMoreServersFailThanItAllows() {
        start(2, 8, 85);
        failing = Set.of(GRAY, OTHER_GRAY);
        awaitWithTraffic("one ejection and one withheld", () -> {
            for (FleetNode node : nodes) {
                assertThat(node.health.status().stream().filter(status -> status.sharePercent() < 100))
                        .hasSizeLessThanOrEqualTo(1);
            }
            return nodes.stream()
                    .allMatch(node -> Stream.of(GRAY, OTHER_GRAY)
                            .map(server -> node.status(server).state())
                            .sorted()
                            .toList()
                            .equals(List.of("ejected", "withheld")));
        });
    }

    // Guards against new work for a server that announced that it is draining, also where the floor allows no ejection.
    @Example
    void marksADrainingServerAsLeavingEverywhere() {
        start(3, 4, 100);
        nodes.get(1).health.draining(FleetNode.SERVICE, GRAY);
        FleetNode.await(
                "leaving everywhere",
                () -> nodes.stream().allMatch(node -> node.status(GRAY).state().equals("leaving")));
        for (FleetNode node : nodes) {
            assertThat(shareOf(node, GRAY)).isZero();
            assertThat(node.changeCount("leaving")).isEqualTo(1);
        }
    }

    // Guards against a request that crashes one server after another because its caller resends it to other daemons.
    @Example
    void refusesARequestAtEveryDaemonAfterTwoCrashes() {
        start(3, 6, 50);
        crash(nodes.get(0), 0, 666, 1);
        FleetNode.await("the first report", () -> crashReports() == 1);
        crash(nodes.get(1), 1, 666, 2);
        FleetNode.await("refusal", () -> nodes.stream().allMatch(node -> refuses(node, 666)));
        for (FleetNode node : nodes) {
            assertThat(refuses(node, 1)).isFalse();
            assertThat(refuses(node, 2)).isFalse();
            assertThat(node.changeCount("request-refused")).isEqualTo(1);
        }
        // A request that completes normally does not crash servers.
        nodes.get(2).exchange(new ServerId("server-2"), 666, FailureKind.NONE);
        FleetNode.await("clearing", () -> nodes.stream().noneMatch(node -> refuses(node, 666)));
    }

    // Guards against a popular request that is refused everywhere because one server breaks some of its responses.
    @Example
    void reportsNoCrashForABrokenResponseOfALiveServer() {
        start(2, 4, 50);
        for (FleetNode node : nodes) {
            node.exchange(GRAY, 777, FailureKind.TRUNCATED);
            FleetNode.await(
                    "the server answers the probe",
                    () -> node.registry
                                    .counter("heatherreach.health.crash.unconfirmed")
                                    .count()
                            == 1);
        }
        assertThat(crashReports()).isZero();
        assertThat(nodes).noneMatch(node -> refuses(node, 777));
    }

    // Guards against a daemon with a faulty network whose evidence gets servers ejected at all daemons.
    @Example
    void ignoresTheEvidenceOfADaemonThatAloneSeesFailures() {
        start(5, 8, 50);
        FleetNode faulty = nodes.get(4);
        FleetNode.await("the daemon learns that it is faulty", () -> {
            for (FleetNode node : nodes) {
                sendTraffic(node, node == faulty ? Set.copyOf(ids(8)) : Set.of(), FailureKind.CONNECT, 1);
            }
            FleetNode.sleep(20);
            return faulty.changeCount("self-faulty") == 1;
        });
        assertThat(nodes.stream().filter(node -> node.changeCount("observer-ignored") == 1))
                .hasSize(1);
    }

    private void start(int daemons, int servers, int floorPercent) {
        List<ListedServer> listed = new ArrayList<>();
        for (ServerId server : ids(servers)) {
            BackendServer backend = new BackendServer(BackendSettings.ofSlots(4));
            backends.add(backend);
            listed.add(FleetNode.listed(server.value(), backend.port()));
        }
        nodes = FleetNode.start(group, daemons, FleetNode.table(floorPercent, 4), listed);
        nodes.forEach(node -> node.health.start());
        FleetNode.await(
                "every daemon knows every server",
                () -> nodes.stream().allMatch(node -> node.health.status().size() == servers));
    }

    private static List<ServerId> ids(int count) {
        List<ServerId> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(new ServerId("server-" + i));
        }
        return ids;
    }

    private void awaitWithTraffic(String what, BooleanSupplier condition) {
        FleetNode.await(what, () -> {
            nodes.forEach(node -> sendTraffic(node, failing, FailureKind.ERROR, FAILURE_SHARE));
            FleetNode.sleep(20);
            return condition.getAsBoolean();
        });
    }

    private void sendTraffic(FleetNode node, Set<ServerId> failingServers, FailureKind failure, double failureShare) {
        for (ServerStatus status : node.health.status()) {
            ServerId server = new ServerId(status.server());
            if (status.sharePercent() > 0) {
                boolean fails = failingServers.contains(server) && random.nextDouble() < failureShare;
                node.exchange(server, random.nextLong(), fails ? failure : FailureKind.NONE);
            }
        }
    }

    private void crash(FleetNode node, int number, long... fingerprints) {
        ServerId server = new ServerId("server-" + number);
        for (long fingerprint : fingerprints) {
            node.health.dispatched(FleetNode.SERVICE, server, fingerprint, System.nanoTime());
        }
        // close() returns once the server accepts no connections; before that it could still answer the probe.
        backends.get(number).close();
        for (long fingerprint : fingerprints) {
            node.health.ended(
                    FleetNode.SERVICE, server, fingerprint, FleetNode.result(FailureKind.TRUNCATED), System.nanoTime());
        }
    }

    private double crashReports() {
        return nodes.stream()
                .mapToDouble(node -> node.registry
                        .counter("heatherreach.health.crash.reports")
                        .count())
                .sum();
    }

    private static boolean refuses(FleetNode node, long fingerprint) {
        return node.health.refuses(FleetNode.SERVICE, fingerprint);
    }

    private static int shareOf(FleetNode node, ServerId server) {
        return node.status(server).sharePercent();
    }
}
