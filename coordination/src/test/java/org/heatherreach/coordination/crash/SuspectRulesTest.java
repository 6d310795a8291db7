package org.heatherreach.coordination.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectRulesTest {
    private static final ServiceId SERVICE = new ServiceId("certdesk");
    private static final int DAEMONS = 4;
    private static final int SERVERS = 8;
    private static final int REQUESTS = 10;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    // Guards against a second crash that identifies no request because two suspects of the first one shared a server.
    // Daemons may know different clearings, since updates arrive late.
    @Property(seed = "5501", tries = 400)
    void twoSuspectsOfOneCrashNeverShareAServer(@ForAll("steps") List<Step> steps) {
        Fleet fleet = new Fleet(() -> new SuspectList(SERVICE));
        steps.forEach(fleet::apply);
        assertThat(fleet.sharedPlacements).isZero();
    }

    // Guards against steps that never lead to a shared server, so that the property above would hold for any guard:
    // under the same steps, NaiveCrashGuard must let suspects of one crash share a server and SuspectList must not.
    @Example
    void naiveGuardPlacesSuspectsOfOneCrashTogether() {
        int[] sharedCounts = new int[2];
        steps().generator(1000).stream(new Random(5501)).limit(400).forEach(steps -> {
            Fleet naive = new Fleet(NaiveCrashGuard::new);
            Fleet suspectLists = new Fleet(() -> new SuspectList(SERVICE));
            steps.value().forEach(naive::apply);
            steps.value().forEach(suspectLists::apply);
            sharedCounts[0] += naive.sharedPlacements;
            sharedCounts[1] += suspectLists.sharedPlacements;
        });
        assertThat(sharedCounts[0]).isPositive();
        assertThat(sharedCounts[1]).isZero();
    }

    // Guards against a request that causes more than two crashes before every daemon refuses it.
    @Example
    void secondCrashIdentifiesTheRequestAndClearsTheOthers() {
        CrashLog log = new CrashLog(SERVICE, new Random(1));
        SuspectList list = new SuspectList(SERVICE);
        list.apply(log.addReport(crash(0, 1, 2, 3), 0).update(), 0);
        assertThat(list.refuses(request(1), 0)).isFalse();
        assertThat(list.isSuspect(request(2), 0)).isTrue();
        CrashFinding second = log.addReport(crash(1, 2, 7), 5 * SECOND_NANOS);
        list.apply(second.update(), 5 * SECOND_NANOS);
        assertThat(list.refuses(request(2), 5 * SECOND_NANOS)).isTrue();
        for (int other : new int[] {1, 3, 7}) {
            assertThat(list.refuses(request(other), 5 * SECOND_NANOS)).isFalse();
            assertThat(list.isSuspect(request(other), 5 * SECOND_NANOS)).isFalse();
        }
        // Both crashes are attributed to the request, so neither counts as evidence against its server.
        assertThat(second.explained())
                .containsExactly(
                        new CrashFinding.ExplainedCrash(server(0), 0),
                        new CrashFinding.ExplainedCrash(server(1), 5 * SECOND_NANOS));
    }

    // Guards against harmless requests that stay refused or restricted for longer than 15 minutes.
    @Example
    void entriesExpireAfterFifteenMinutes() {
        CrashLog log = new CrashLog(SERVICE, new Random(1));
        SuspectList list = new SuspectList(SERVICE);
        list.apply(log.addReport(crash(0, 1, 2), 0).update(), 0);
        list.apply(log.addReport(crash(1, 2), SECOND_NANOS * 2).update(), SECOND_NANOS * 2);
        list.apply(log.addReport(crash(2, 4, 5), SECOND_NANOS * 2).update(), SECOND_NANOS * 2);
        long beforeExpiryNanos = TimeUnit.MINUTES.toNanos(15) + SECOND_NANOS;
        assertThat(list.refuses(request(2), beforeExpiryNanos)).isTrue();
        assertThat(list.isSuspect(request(4), beforeExpiryNanos)).isTrue();
        long afterExpiryNanos = TimeUnit.MINUTES.toNanos(15) + SECOND_NANOS * 2;
        assertThat(list.refuses(request(2), afterExpiryNanos)).isFalse();
        assertThat(list.isSuspect(request(4), afterExpiryNanos)).isFalse();
        assertThat(log.snapshot(afterExpiryNanos).suspects()).isEmpty();
    }

    // Guards against a harmless request that remains a suspect after it completed normally.
    @Example
    void normalCompletionClearsASuspectEverywhere() {
        CrashLog log = new CrashLog(SERVICE, new Random(1));
        SuspectList completingList = new SuspectList(SERVICE);
        SuspectList otherList = new SuspectList(SERVICE);
        SuspectUpdate first = log.addReport(crash(0, 1, 2), 0).update();
        completingList.apply(first, 0);
        otherList.apply(first, 0);
        Optional<SuspectUpdate> cleared = completingList.noteCompletion(request(1), SECOND_NANOS);
        assertThat(cleared).isPresent();
        otherList.apply(log.applyClearings(cleared.get(), SECOND_NANOS).update(), SECOND_NANOS);
        assertThat(otherList.isSuspect(request(1), SECOND_NANOS)).isFalse();
        assertThat(otherList.isSuspect(request(2), SECOND_NANOS)).isTrue();
        // The cleared request is in flight during a later crash with another cause and is not identified by that crash.
        log.addReport(crash(3, 1, 9), 3 * SECOND_NANOS);
        assertThat(log.refuses(request(1), 3 * SECOND_NANOS)).isFalse();
        assertThat(completingList.noteCompletion(request(8), SECOND_NANOS)).isEmpty();
    }

    // Guards against refusing a request after the first of several reports of one crash when a later report names a
    // second suspect on the same server.
    @Example
    void lateReportOfTheSameCrashWithdrawsAnIdentification() {
        CrashLog log = new CrashLog(SERVICE, new Random(1));
        SuspectList list = new SuspectList(SERVICE);
        list.apply(log.addReport(crash(0, 1, 2), 0).update(), 0);
        list.apply(log.addReport(crash(1, 1), 2 * SECOND_NANOS).update(), 2 * SECOND_NANOS);
        assertThat(list.refuses(request(1), 2 * SECOND_NANOS)).isTrue();
        list.apply(log.addReport(crash(1, 2), 2 * SECOND_NANOS + 1).update(), 2 * SECOND_NANOS + 1);
        assertThat(list.refuses(request(1), 2 * SECOND_NANOS + 1)).isFalse();
        assertThat(list.isSuspect(request(1), 2 * SECOND_NANOS + 1)).isTrue();
        assertThat(list.isSuspect(request(2), 2 * SECOND_NANOS + 1)).isTrue();
        list.apply(log.addReport(crash(2, 2, 6), 4 * SECOND_NANOS).update(), 4 * SECOND_NANOS);
        assertThat(list.refuses(request(2), 4 * SECOND_NANOS)).isTrue();
        assertThat(list.isSuspect(request(1), 4 * SECOND_NANOS)).isFalse();
    }

    // Guards against a crash report for a single broken connection while others stay open.
    @Example
    void onlyTheBreakOfAllConnectionsCountsAsACrash() {
        CrashDetector detector = new CrashDetector();
        ServerId server = server(0);
        for (int i = 0; i < 3; i++) {
            detector.connectionOpened(server);
        }
        assertThat(detector.connectionBroken(server, Optional.of(request(1)), 0))
                .isEmpty();
        long later = TimeUnit.MILLISECONDS.toNanos(500);
        assertThat(detector.connectionBroken(server, Optional.of(request(2)), later))
                .isEmpty();
        // The break 500 ms earlier does not belong to this crash.
        assertThat(detector.connectionBroken(server, Optional.of(request(3)), later + 1))
                .containsExactly(request(2), request(3));
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> daemon = Arbitraries.integers().between(0, DAEMONS - 1);
        Arbitrary<Integer> server = Arbitraries.integers().between(0, SERVERS - 1);
        Arbitrary<Integer> request = Arbitraries.integers().between(0, REQUESTS - 1);
        Arbitrary<Step> crash = Combinators.combine(
                        server, request.set().ofMinSize(2).ofMaxSize(4))
                .as(Crash::new);
        Arbitrary<Step> place = Combinators.combine(daemon, server, request).as(Place::new);
        Arbitrary<Step> finish = Combinators.combine(daemon, request).as(Finish::new);
        Arbitrary<Step> deliver = daemon.map(Deliver::new);
        return Arbitraries.frequencyOf(
                        Tuple.of(1, crash), Tuple.of(12, place), Tuple.of(4, finish), Tuple.of(2, deliver))
                .list()
                .ofMinSize(10)
                .ofMaxSize(150);
    }

    private static CrashReport crash(int server, int... requests) {
        List<Fingerprint> inFlight = new ArrayList<>();
        for (int number : requests) {
            inFlight.add(request(number));
        }
        return new CrashReport(SERVICE, server(server), inFlight);
    }

    private static Fingerprint request(int number) {
        return new Fingerprint(number * 0x9E3779B97F4A7C15L);
    }

    private static ServerId server(int index) {
        return new ServerId("server-" + index);
    }

    private interface Step {}

    private record Crash(int server, Set<Integer> requests) implements Step {}

    private record Place(int daemon, int server, int request) implements Step {}

    private record Finish(int daemon, int request) implements Step {}

    private record Deliver(int daemon) implements Step {}

    private record Placement(int server, int request) {}

    /**
     * A group of daemons that place requests as their guards allow. New suspects reach all daemons at once, because the
     * placement rule binds only daemons that know of the crash; clearings reach each daemon with its next delivery.
     */
    private static final class Fleet {
        private final CrashLog log = new CrashLog(SERVICE, new Random(7));
        private final List<CrashGuard> daemons = new ArrayList<>();
        private final List<List<SuspectUpdate>> inboxes = new ArrayList<>();
        private final Set<Placement> running = new HashSet<>();
        private final List<Set<Integer>> suspectGroups = new ArrayList<>();
        private int sharedPlacements;
        private long nowNanos;

        Fleet(Supplier<CrashGuard> create) {
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(create.get());
                inboxes.add(new ArrayList<>());
            }
        }

        void apply(Step step) {
            nowNanos += 2 * SECOND_NANOS;
            if (step instanceof Crash crash) {
                Set<Integer> requests = new TreeSet<>(crash.requests);
                requests.removeIf(number -> log.refuses(request(number), nowNanos) || isSuspect(number));
                if (requests.size() < 2) {
                    return;
                }
                running.removeIf(placement -> requests.contains(placement.request));
                suspectGroups.add(requests);
                int[] numbers = requests.stream().mapToInt(Integer::intValue).toArray();
                SuspectUpdate update =
                        log.addReport(crash(crash.server, numbers), nowNanos).update();
                for (int i = 0; i < DAEMONS; i++) {
                    deliver(i);
                    daemons.get(i).apply(update, nowNanos);
                }
            } else if (step instanceof Place place) {
                Fingerprint request = request(place.request);
                CrashGuard daemon = daemons.get(place.daemon);
                if (!daemon.refuses(request, nowNanos) && daemon.mayPlace(request, server(place.server), nowNanos)) {
                    running.add(new Placement(place.server, place.request));
                    countShared(place);
                }
            } else if (step instanceof Finish finish) {
                if (running.removeIf(placement -> placement.request == finish.request)) {
                    suspectGroups.forEach(group -> group.remove(finish.request));
                    daemons.get(finish.daemon)
                            .noteCompletion(request(finish.request), nowNanos)
                            .ifPresent(update -> {
                                SuspectUpdate clearing =
                                        log.applyClearings(update, nowNanos).update();
                                inboxes.forEach(inbox -> inbox.add(clearing));
                            });
                }
            } else if (step instanceof Deliver deliver) {
                deliver(deliver.daemon);
            }
        }

        private void deliver(int daemon) {
            inboxes.get(daemon).forEach(update -> daemons.get(daemon).apply(update, nowNanos));
            inboxes.get(daemon).clear();
        }

        private boolean isSuspect(int number) {
            return suspectGroups.stream().anyMatch(group -> group.contains(number));
        }

        private void countShared(Place place) {
            for (Set<Integer> group : suspectGroups) {
                if (group.contains(place.request)
                        && running.stream()
                                .anyMatch(other -> other.server == place.server
                                        && other.request != place.request
                                        && group.contains(other.request))) {
                    sharedPlacements++;
                }
            }
        }
    }
}
