package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

class EvidenceWindowTest {
    private static final ServerId SERVER = new ServerId("server-1");
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final EvidenceWindow window = new EvidenceWindow(new ServiceId("benchdesk"), 0, new ZoneId("z"));

    // Guards against reports that name servers without traffic, or count an exchange in two windows.
    @Example
    void reportCoversOnlyTheTimeSinceThePreviousReport() {
        assertThat(window.collectReport(0)).isEmpty();
        long exchange = window.begin(SERVER, 0);
        window.responseHeadReceived(exchange, 20 * NANOS_PER_MILLI);
        window.complete(exchange, 30 * NANOS_PER_MILLI);
        ServerEvidence evidence = singleEntry(window.collectReport(250 * NANOS_PER_MILLI));
        assertThat(evidence.requests()).isEqualTo(1);
        assertThat(evidence.failures()).isZero();
        assertThat(evidence.latencyCount(LatencyBuckets.indexOf(20 * NANOS_PER_MILLI)))
                .isEqualTo(1);
        window.complete(exchange, 260 * NANOS_PER_MILLI);
        assertThat(window.collectReport(500 * NANOS_PER_MILLI)).isEmpty();
    }

    // Guards against a server that never answers and therefore never appears in the latency counts.
    @Example
    void unansweredExchangeIsCountedOnceByItsAge() {
        for (int i = 0; i < 50; i++) {
            long exchange = window.begin(SERVER, 0);
            window.complete(exchange, 10 * NANOS_PER_MILLI);
        }
        long openExchange = window.begin(SERVER, 0);
        ServerEvidence first = singleEntry(window.collectReport(250 * NANOS_PER_MILLI));
        assertThat(first.latencyCount(LatencyBuckets.indexOf(250 * NANOS_PER_MILLI)))
                .isEqualTo(1);
        assertThat(window.collectReport(500 * NANOS_PER_MILLI)).isEmpty();
        window.responseHeadReceived(openExchange, 600 * NANOS_PER_MILLI);
        window.complete(openExchange, 600 * NANOS_PER_MILLI);
        ServerEvidence second = singleEntry(window.collectReport(750 * NANOS_PER_MILLI));
        assertThat(second.requests()).isEqualTo(1);
        assertThat(latencyTotal(second)).isZero();
    }

    // Guards against a single long exchange that is counted as a stall again and again and gets a server ejected.
    @Example
    void silentExchangeCountsAsAStallAtMostTwice() {
        long openExchange = window.begin(SERVER, 0);
        int stalled = 0;
        for (int i = 1; i < 100; i++) {
            stalled += window.collectReport(i * 250 * NANOS_PER_MILLI)
                    .map(report -> report.evidence().get(0).stalled())
                    .orElse(0);
        }
        assertThat(stalled).isEqualTo(2);
        window.fail(openExchange, ServerFailure.STALLED, 25_000 * NANOS_PER_MILLI);
        assertThat(window.collectReport(25_001 * NANOS_PER_MILLI)).isEmpty();
    }

    // Guards against counting an exchange against the server because its caller disconnected.
    @Example
    void cancelledExchangeCountsNothing() {
        window.cancel(window.begin(SERVER, 0));
        assertThat(window.collectReport(5_000 * NANOS_PER_MILLI)).isEmpty();
    }

    // Guards against a server with two probers or none in a zone, and against reassigning all servers when one daemon
    // leaves.
    @Example
    void eachServerHasOneProberThatChangesOnlyWhenTheProberLeaves() {
        List<IncarnationId> daemons = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            daemons.add(new IncarnationId(i * 0x9E3779B97F4A7C15L));
        }
        ProbePlan before = new ProbePlan(daemons);
        ProbePlan after = new ProbePlan(daemons.subList(0, 4));
        for (int i = 0; i < 100; i++) {
            ServerId server = new ServerId("server-" + i);
            long probers = daemons.stream()
                    .filter(daemon -> before.serversOf(daemon, List.of(server)).size() == 1)
                    .count();
            assertThat(probers).isEqualTo(1);
            Optional<IncarnationId> prober = before.proberOf(server);
            if (!prober.equals(Optional.of(daemons.get(4)))) {
                assertThat(after.proberOf(server)).isEqualTo(prober);
            }
        }
    }

    private static int latencyTotal(ServerEvidence evidence) {
        int sum = 0;
        for (int count : evidence.latencyCounts()) {
            sum += count;
        }
        return sum;
    }

    private static ServerEvidence singleEntry(Optional<HealthReport> report) {
        assertThat(report).isPresent();
        assertThat(report.get().evidence()).hasSize(1);
        return report.get().evidence().get(0);
    }
}
