package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.table.ServiceLimits;

import static org.assertj.core.api.Assertions.assertThat;

class EjectionFloorTest {
    private static final int SERVERS = 12;
    private static final int DAEMONS = 5;
    private static final int OWNERS = 3;
    private static final ServiceId SERVICE = new ServiceId("certdesk");
    private static final ServiceLimits LIMITS = new ServiceLimits(SERVICE, 70, 2, 390, 10);
    private static final List<ServerId> ALL = servers(SERVERS);

    // Guards against ejections below the floor when owners overlap, disagree or are replaced, when verdicts arrive late
    // or twice, and when server lists change during ejections.
    @Property(seed = "5301", tries = 400)
    void pooledHealthKeepsTheFloorAtEveryStep(@ForAll("steps") List<Step> steps) {
        SimulatedFleet fleet = new SimulatedFleet(daemon -> new PooledHealth(SERVICE, 0, zone(daemon), LIMITS));
        for (Step step : steps) {
            fleet.apply(step);
            assertThat(fleet.violation()).isEmpty();
        }
    }

    // Guards against a property that every implementation passes: NaiveHealth must violate it under steps for which
    // PooledHealth keeps it.
    @Example
    void naiveHealthViolatesTheFloorWherePooledHealthKeepsIt() {
        int[] violatedSteps = new int[2];
        steps().generator(1000).stream(new Random(5301)).limit(400).forEach(steps -> {
            SimulatedFleet naive = new SimulatedFleet(daemon -> new NaiveHealth(TimeUnit.SECONDS.toNanos(1)));
            SimulatedFleet pooled = new SimulatedFleet(daemon -> new PooledHealth(SERVICE, 0, zone(daemon), LIMITS));
            for (Step step : steps.value()) {
                naive.apply(step);
                pooled.apply(step);
                violatedSteps[0] += naive.violation().isPresent() ? 1 : 0;
                violatedSteps[1] += pooled.violation().isPresent() ? 1 : 0;
            }
        });
        assertThat(violatedSteps[0]).isPositive();
        assertThat(violatedSteps[1]).isZero();
    }

    // Guards against ejections that last beyond their deadline when the owner has failed.
    @Example
    void ejectionEndsByItsDeadline() {
        EjectionGuard guard = new EjectionGuard(zone(0), LIMITS);
        guard.updateServers(ALL, Set.of(), 0);
        guard.apply(new IncarnationId(1), List.of(verdict(3, 0, 2_000, 9)), 0);
        assertThat(guard.sharePercent(ALL.get(3))).isZero();
        guard.tick(TimeUnit.MILLISECONDS.toNanos(1_999));
        assertThat(guard.sharePercent(ALL.get(3))).isZero();
        guard.tick(TimeUnit.MILLISECONDS.toNanos(2_000));
        assertThat(guard.sharePercent(ALL.get(3))).isEqualTo(100);
    }

    // Guards against daemons that eject different servers although they have the same verdicts.
    @Example
    void worstServersAreEjectedFirstWhateverTheOrderOfArrival() {
        List<Verdict> verdicts = List.of(
                verdict(1, 0, 9_000, 3), verdict(2, 0, 9_000, 8), verdict(5, 0, 9_000, 8), verdict(7, 0, 9_000, 5));
        List<Verdict> reversed = new ArrayList<>(verdicts);
        Collections.reverse(reversed);
        for (List<Verdict> order : List.of(verdicts, reversed)) {
            EjectionGuard guard = new EjectionGuard(zone(0), LIMITS);
            guard.updateServers(ALL, Set.of(), 0);
            order.forEach(verdict -> guard.apply(new IncarnationId(1), List.of(verdict), 0));
            assertThat(ALL.stream().filter(server -> guard.sharePercent(server) == 0))
                    .containsExactly(ALL.get(2), ALL.get(5), ALL.get(7));
        }
    }

    // Guards against a verdict for one zone that ejects a server in daemons of other zones.
    @Example
    void zoneVerdictAppliesInItsZoneOnly() {
        Verdict verdict = new Verdict(ALL.get(0), Optional.of(zone(1)), 0, 5_000, 4, "test");
        EjectionGuard sameZone = new EjectionGuard(zone(1), LIMITS);
        EjectionGuard otherZone = new EjectionGuard(zone(0), LIMITS);
        for (EjectionGuard guard : List.of(sameZone, otherZone)) {
            guard.updateServers(ALL, Set.of(), 0);
            guard.apply(new IncarnationId(1), List.of(verdict), 0);
        }
        assertThat(sameZone.sharePercent(ALL.get(0))).isZero();
        assertThat(otherZone.sharePercent(ALL.get(0))).isEqualTo(100);
    }

    // Guards against ejections that ignore unavailable servers: ejected and unavailable servers both count against the
    // floor.
    @Example
    void unavailableServersCountAgainstTheFloor() {
        EjectionGuard guard = new EjectionGuard(zone(0), LIMITS);
        guard.updateServers(ALL, Set.of(), 0);
        guard.apply(new IncarnationId(1), List.of(verdict(1, 0, 9_000, 3), verdict(2, 10, 9_000, 2)), 0);
        assertThat(guard.restrictedCount()).isEqualTo(2);
        guard.updateServers(ALL, Set.of(ALL.get(8), ALL.get(9)), 0);
        assertThat(guard.restrictedCount()).isEqualTo(1);
        assertThat(guard.sharePercent(ALL.get(1))).isZero();
        assertThat(guard.sharePercent(ALL.get(8))).isZero();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> daemon = Arbitraries.integers().between(0, DAEMONS - 1);
        Arbitrary<Integer> server = Arbitraries.integers().between(0, SERVERS - 1);
        Arbitrary<Verdict> verdict = Combinators.combine(
                        server,
                        Arbitraries.of(0, 0, 0, 10, 30, 100),
                        Arbitraries.integers().between(0, 40_000),
                        Arbitraries.integers().between(0, 20),
                        Arbitraries.integers().between(-1, 2))
                .as((index, share, valid, severity, zone) -> new Verdict(
                        ALL.get(index),
                        zone < 0 ? Optional.empty() : Optional.of(zone(zone)),
                        share,
                        valid,
                        severity,
                        ""));
        Arbitrary<Step> sendVerdicts = Combinators.combine(
                        Arbitraries.integers().between(1, OWNERS),
                        verdict.list().ofMinSize(1).ofMaxSize(6))
                .as(SendVerdicts::new);
        Arbitrary<Step> deliverMessage = Combinators.combine(
                        daemon, Arbitraries.integers().between(0, 30))
                .as(DeliverMessage::new);
        Arbitrary<Step> failRequests = Combinators.combine(
                        daemon, server, Arbitraries.integers().between(1, 8))
                .as(FailRequests::new);
        Arbitrary<Step> changeServerList = Combinators.combine(
                        daemon,
                        server.set().ofMinSize(1).ofMaxSize(SERVERS),
                        server.set().ofMaxSize(3))
                .as(ChangeServerList::new);
        Arbitrary<Step> advanceClock =
                Arbitraries.longs().between(0, TimeUnit.SECONDS.toNanos(12)).map(AdvanceClock::new);
        return Arbitraries.frequencyOf(
                        Tuple.of(4, sendVerdicts),
                        Tuple.of(8, deliverMessage),
                        Tuple.of(8, failRequests),
                        Tuple.of(1, changeServerList),
                        Tuple.of(2, advanceClock))
                .list()
                .ofMinSize(1)
                .ofMaxSize(150);
    }

    private static Verdict verdict(int server, int share, int validMillis, int severity) {
        return new Verdict(ALL.get(server), Optional.empty(), share, validMillis, severity, "test");
    }

    private static List<ServerId> servers(int count) {
        List<ServerId> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new ServerId(String.format("server-%02d", i)));
        }
        return servers;
    }

    private static ZoneId zone(int index) {
        return new ZoneId("z" + index % 3);
    }

    private interface Step {}

    /** An owner sends verdicts; each daemon may receive them late, twice or never. */
    private record SendVerdicts(int owner, List<Verdict> verdicts) implements Step {}

    private record DeliverMessage(int daemon, int message) implements Step {}

    private record FailRequests(int daemon, int server, int times) implements Step {}

    private record ChangeServerList(int daemon, Set<Integer> listed, Set<Integer> unavailable) implements Step {}

    private record AdvanceClock(long nanos) implements Step {}

    private static final class SimulatedFleet {
        private final List<DaemonHealth> daemons = new ArrayList<>();
        private final List<Set<ServerId>> listed = new ArrayList<>();
        private final List<Set<ServerId>> unavailable = new ArrayList<>();
        private final List<SendVerdicts> sentMessages = new ArrayList<>();
        private long nowNanos;

        SimulatedFleet(IntFunction<DaemonHealth> create) {
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(create.apply(i));
                listed.add(new HashSet<>(ALL));
                unavailable.add(Set.of());
                daemons.get(i).updateServers(ALL, Set.of(), 0);
            }
        }

        void apply(Step step) {
            if (step instanceof SendVerdicts message) {
                sentMessages.add(message);
            } else if (step instanceof DeliverMessage deliver && !sentMessages.isEmpty()) {
                SendVerdicts message = sentMessages.get(deliver.message % sentMessages.size());
                daemons.get(deliver.daemon)
                        .apply(
                                new IncarnationId(message.owner),
                                new VerdictList(SERVICE, 0, message.verdicts, false),
                                nowNanos);
            } else if (step instanceof FailRequests fail) {
                DaemonHealth daemon = daemons.get(fail.daemon);
                for (int i = 0; i < fail.times; i++) {
                    daemon.fail(daemon.begin(ALL.get(fail.server), nowNanos), ServerFailure.ERROR, nowNanos);
                }
            } else if (step instanceof ChangeServerList change) {
                Set<ServerId> newListed = new HashSet<>();
                change.listed.forEach(index -> newListed.add(ALL.get(index)));
                Set<ServerId> newUnavailable = new HashSet<>();
                change.unavailable.forEach(index -> newUnavailable.add(ALL.get(index)));
                newUnavailable.retainAll(newListed);
                listed.set(change.daemon, newListed);
                unavailable.set(change.daemon, newUnavailable);
                daemons.get(change.daemon).updateServers(newListed, newUnavailable, nowNanos);
            } else if (step instanceof AdvanceClock advance) {
                nowNanos += advance.nanos;
            }
        }

        /**
         * Checks the floor in each daemon and, if every daemon lists all servers, the number of restrictions in the
         * fleet.
         */
        Optional<String> violation() {
            int restrictedInAll = 0;
            boolean equalLists = true;
            for (int i = 0; i < DAEMONS; i++) {
                int size = listed.get(i).size();
                int restrictedHere = 0;
                for (ServerId server : listed.get(i)) {
                    boolean isUnavailable = unavailable.get(i).contains(server);
                    restrictedHere += !isUnavailable && daemons.get(i).sharePercent(server, nowNanos) < 100 ? 1 : 0;
                }
                int allowed = Math.max(
                        0, size - LIMITS.floorOf(size) - unavailable.get(i).size());
                if (restrictedHere > allowed) {
                    return Optional.of(
                            "daemon " + i + " has " + restrictedHere + " restricted servers, allowed are " + allowed);
                }
                restrictedInAll += restrictedHere;
                equalLists &= listed.get(i).size() == SERVERS;
            }
            int allowedInAll = DAEMONS * (SERVERS - LIMITS.floorOf(SERVERS));
            return equalLists && restrictedInAll > allowedInAll
                    ? Optional.of("the fleet has " + restrictedInAll + " restrictions, allowed are " + allowedInAll)
                    : Optional.empty();
        }
    }
}
