package org.heatherreach.daemon.site;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import net.jqwik.api.Example;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.http.FailureKind;

import static org.assertj.core.api.Assertions.assertThat;

class CrashMonitorTest {
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final long CRASHING = 7;
    private static final long OTHER = 8;

    private final List<CrashMonitor> daemons = new ArrayList<>();
    private final List<Consumer<Boolean>> probes = new ArrayList<>();
    private final Set<Fingerprint> recorded = new HashSet<>();
    private long nowNanos;

    // Guards against a request that crashes one server after another because each daemon knows only the crashes that it
    // observed itself.
    @Example
    void refusesARequestOnEveryDaemonAfterItCrashedTwoServers() {
        CrashMonitor first = addDaemon();
        CrashMonitor second = addDaemon();
        loseResponse(first, "a", CRASHING);
        loseResponse(first, "a", OTHER);
        finishProbes(false);
        assertThat(first.refuses(SERVICE, CRASHING)).isFalse();
        first.ended(SERVICE, new ServerId("c"), OTHER, result(FailureKind.NONE), nowNanos);
        loseResponse(second, "b", CRASHING);
        finishProbes(false);
        for (CrashMonitor daemon : daemons) {
            assertThat(daemon.refuses(SERVICE, CRASHING)).isTrue();
            assertThat(daemon.refuses(SERVICE, OTHER)).isFalse();
        }
    }

    // Guards against refusing frequent requests because a server that keeps running breaks off single responses.
    @Example
    void ignoresLostAnswersOfAServerThatTakesConnections() {
        CrashMonitor daemon = addDaemon();
        for (String server : List.of("a", "b", "c")) {
            loseResponse(daemon, server, CRASHING);
            finishProbes(true);
        }
        assertThat(daemon.refuses(SERVICE, CRASHING)).isFalse();
    }

    // Guards against refusing a request that was merely in flight at a server when another request crashed it.
    @Example
    void clearsARequestThatCompletesAtAnotherDaemon() {
        CrashMonitor first = addDaemon();
        CrashMonitor second = addDaemon();
        loseResponse(first, "a", OTHER);
        finishProbes(false);
        second.ended(SERVICE, new ServerId("c"), OTHER, result(FailureKind.ERROR), nowNanos);
        loseResponse(first, "b", OTHER);
        finishProbes(false);
        assertThat(first.refuses(SERVICE, OTHER)).isFalse();
        assertThat(second.refuses(SERVICE, OTHER)).isFalse();
    }

    // Guards against a restarted daemon that sends a request on which crashed two servers before it started.
    @Example
    void refusesAnIdentifiedRequestOnADaemonThatStartsLater() {
        CrashMonitor first = addDaemon();
        loseResponse(first, "a", CRASHING);
        finishProbes(false);
        assertThat(addDaemon().refuses(SERVICE, CRASHING)).isFalse();
        loseResponse(first, "b", CRASHING);
        finishProbes(false);
        CrashMonitor restarted = addDaemon();
        assertThat(restarted.refuses(SERVICE, CRASHING)).isTrue();
        assertThat(restarted.refuses(SERVICE, OTHER)).isFalse();
    }

    // Guards against a request that stays refused by later daemons although it completed after its identification.
    @Example
    void removesARequestFromTheRecordWhenItCompletes() {
        CrashMonitor first = addDaemon();
        loseResponse(first, "a", CRASHING);
        finishProbes(false);
        loseResponse(first, "b", CRASHING);
        finishProbes(false);
        CrashMonitor restarted = addDaemon();
        restarted.ended(SERVICE, new ServerId("c"), CRASHING, result(FailureKind.NONE), nowNanos);
        assertThat(recorded).isEmpty();
        assertThat(first.refuses(SERVICE, CRASHING)).isFalse();
        assertThat(restarted.refuses(SERVICE, CRASHING)).isFalse();
    }

    private void loseResponse(CrashMonitor daemon, String server, long fingerprint) {
        daemon.ended(SERVICE, new ServerId(server), fingerprint, result(FailureKind.TRUNCATED), nowNanos);
    }

    private void finishProbes(boolean connected) {
        List<Consumer<Boolean>> started = new ArrayList<>(probes);
        probes.clear();
        started.forEach(probe -> probe.accept(connected));
        nowNanos += TimeUnit.SECONDS.toNanos(2);
    }

    private static ExchangeResult result(FailureKind failure) {
        return new ExchangeResult(Outcome.UNKNOWN, 0, failure);
    }

    private CrashMonitor addDaemon() {
        CrashMonitor[] self = new CrashMonitor[1];
        CrashPeers peers = new CrashPeers() {
            @Override
            public void reportCrash(CrashReport report) {
                daemons.stream().filter(peer -> peer != self[0]).forEach(peer -> peer.recordCrash(report));
            }

            @Override
            public void reportCleared(SuspectUpdate update) {
                daemons.stream().filter(peer -> peer != self[0]).forEach(peer -> peer.recordCleared(update));
            }
        };
        self[0] = new CrashMonitor(
                (server, listener) -> probes.add(listener),
                peers,
                new SharedRecord(),
                new Random(daemons.size()),
                () -> nowNanos);
        daemons.add(self[0]);
        return self[0];
    }

    /** The record as each daemon reads it from the store at once. */
    private final class SharedRecord implements RefusedRequests {
        @Override
        public boolean contains(Fingerprint request) {
            return recorded.contains(request);
        }

        @Override
        public void add(ServiceId service, Fingerprint request, boolean firstHand) {
            if (firstHand) {
                recorded.add(request);
            }
        }

        @Override
        public void cancel(Fingerprint request) {}

        @Override
        public void remove(Fingerprint request) {
            recorded.remove(request);
        }
    }
}
