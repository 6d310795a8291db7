package org.heatherreach.daemon.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.heatherreach.daemon.fleet.ProcessFleet.Answer;
import org.heatherreach.daemon.fleet.ProcessFleet.Kind;
import org.heatherreach.standins.BackendTarget;

import static org.assertj.core.api.Assertions.assertThat;

// Runs real processes under load: daemons are killed, paused and stopped, and the store is killed and restarted.
class FleetProcessTest {
    private static final int COUNT = 3;
    private static final BackendTarget ROUTED = new BackendTarget("/routed/1", 5, 128);
    private static final Set<Kind> CORRECT_KINDS = EnumSet.of(Kind.RIGHT, Kind.NOT_RUN, Kind.UNKNOWN);

    private final AtomicInteger lookUpNumbers = new AtomicInteger();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private ProcessFleet fleet;

    @AfterTry
    void tearDown() {
        callers.shutdownNow();
        if (fleet != null) {
            fleet.close();
        }
    }

    // Two faults share a fleet, because starting its processes takes longer than testing either of them.
    @Example
    void pausedAndKilledDaemonsAreReplaced() throws Exception {
        fleet = new ProcessFleet(COUNT);
        pausedOwnerDelaysNoOtherDaemonAndRejoins();
        survivorsOfAKilledDaemonServeAllRequests();
    }

    @Example
    void storeOutageAndPlannedStopInterruptNoRequest() throws Exception {
        fleet = new ProcessFleet(COUNT);
        storeOutageBlocksOnlyTableChanges();
        stoppedDaemonFinishesEveryRequest();
    }

    // Guards against truncated answers, answers to other requests, second runs of a key after resends, and slots that
    // stay leased after their owner was killed.
    private void survivorsOfAKilledDaemonServeAllRequests() throws Exception {
        int victim = fleet.owner();
        List<Integer> survivors = daemonsExcept(victim);
        String running = fleet.issueKey(victim);
        String unsent = fleet.issueKey(victim);
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            keys.add(fleet.issueKey(victim));
        }
        Queue<Answer> answers = new ConcurrentLinkedQueue<>();
        Map<String, Answer> lastAnswers = new ConcurrentHashMap<>();
        Future<Answer> interrupted = callers.submit(() -> fleet.book(victim, running, 5_000));
        fleet.await("the booking runs", () -> fleet.runs(running) == 1);
        List<Callable<Void>> tasks = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            tasks.add(() -> {
                for (int request = 0; request < 40; request++) {
                    answers.add(lookUp(request % COUNT, request % 10 == 0 ? 400_000 : 300));
                }
                return null;
            });
            List<String> own = keys.subList(i * 8, i * 8 + 8);
            tasks.add(() -> {
                own.forEach(key -> lastAnswers.put(key, bookUntilAnswered(victim, survivors, key)));
                return null;
            });
        }
        List<Future<Void>> load = tasks.stream().map(callers::submit).toList();
        fleet.await("requests of each kind were answered", () -> answers.size() >= 30 && lastAnswers.size() >= 3);
        fleet.signal(victim, "KILL");
        awaitAll(load);
        assertThat(interrupted.get().kind()).isEqualTo(Kind.BROKEN);
        assertThat(answers)
                .allMatch(answer -> CORRECT_KINDS.contains(answer.kind())
                        || answer.kind() == Kind.BROKEN && answer.daemon() == victim);
        fleet.await("the survivors remove the killed daemon", () -> areTheOnlyMembers(survivors));
        Answer again = fleet.book(survivors.get(0), running, 5_000);
        assertThat(again.kind()).as(again.toString()).isEqualTo(Kind.UNKNOWN);
        for (int survivor : survivors) {
            Answer barred = fleet.book(survivor, unsent, 20);
            assertThat(barred.kind()).as(barred.toString()).isEqualTo(Kind.NOT_RUN);
        }
        assertServed(survivors, 40);
        List<Future<Answer>> slow = IntStream.range(0, 4 * ProcessFleet.SLOTS)
                .mapToObj(i -> callers.submit(() -> fleet.lookUp(survivors.get(i % 2), target(1_500, 300))))
                .toList();
        fleet.await("the survivors use every slot", () -> fleet.slotsInUse() == 2 * ProcessFleet.SLOTS);
        for (Future<Answer> answer : slow) {
            assertThat(answer.get().kind()).as(answer.get().toString()).isEqualTo(Kind.RIGHT);
        }
        assertThat(fleet.runs(running)).isEqualTo(1);
        assertThat(fleet.runs(unsent)).isZero();
        for (String key : keys) {
            Answer last = lastAnswers.get(key);
            assertThat(last.kind()).as(last.toString()).isIn(CORRECT_KINDS);
            assertThat(fleet.runs(key))
                    .as(last.toString())
                    .isLessThanOrEqualTo(last.kind() == Kind.NOT_RUN ? 0 : 1)
                    .isGreaterThanOrEqualTo(last.kind() == Kind.RIGHT ? 1 : 0);
        }
        assertThat(lastAnswers.values()).anyMatch(answer -> answer.kind() == Kind.RIGHT);
    }

    // Guards against a paused owner that blocks the other daemons, or that after the pause runs held requests a second
    // time or answers them wrongly.
    private void pausedOwnerDelaysNoOtherDaemonAndRejoins() throws Exception {
        int owner = fleet.owner();
        List<Integer> others = daemonsExcept(owner);
        String key = fleet.issueKey(owner);
        Queue<Answer> answers = new ConcurrentLinkedQueue<>();
        Future<Answer> running = callers.submit(() -> fleet.book(owner, key, 1_000));
        fleet.await("the booking runs", () -> fleet.runs(key) == 1);
        List<Future<Void>> load = new ArrayList<>();
        for (int daemon : others) {
            load.add(callers.submit(() -> {
                for (int request = 0; request < 50; request++) {
                    answers.add(lookUp(daemon, 300));
                }
                return null;
            }));
        }
        fleet.signal(owner, "STOP");
        List<Future<Answer>> held = IntStream.range(0, 4)
                .mapToObj(i -> callers.submit(() -> lookUp(owner, 300)))
                .toList();
        awaitAll(load);
        assertThat(answers).allMatch(answer -> CORRECT_KINDS.contains(answer.kind()));
        fleet.await("the other daemons remove the paused owner", () -> areTheOnlyMembers(others));
        assertServed(others, 40);
        assertThat(fleet.book(others.get(0), key, 1_000).kind()).isEqualTo(Kind.UNKNOWN);
        fleet.signal(owner, "CONT");
        assertThat(running.get().kind()).as(running.get().toString()).isEqualTo(Kind.RIGHT);
        for (Future<Answer> answer : held) {
            assertThat(answer.get().kind()).as(answer.get().toString()).isIn(CORRECT_KINDS);
        }
        fleet.await("the owner has rejoined", () -> fleet.everyDaemon(i -> fleet.members(i) == COUNT));
        fleet.await("the owner serves", () -> lookUp(owner, 300).kind() == Kind.RIGHT);
        assertServed(List.of(0, 1, 2), 60);
        fleet.await(
                "the booking is answered by its record",
                () -> fleet.book(others.get(0), key, 1_000).kind() == Kind.RIGHT);
        assertThat(fleet.runs(key)).isEqualTo(1);
    }

    // Guards against a planned stop that interrupts or refuses requests sent before callers could know of it, and
    // against
    // log lines that are not JSON documents or lack their time, level, logger or message.
    private void stoppedDaemonFinishesEveryRequest() throws Exception {
        int stopped = fleet.owner();
        List<Integer> others = daemonsExcept(stopped);
        String key = fleet.issueKey(stopped);
        AtomicBoolean announced = new AtomicBoolean();
        Queue<Answer> answers = new ConcurrentLinkedQueue<>();
        Future<Answer> running = callers.submit(() -> fleet.book(stopped, key, 3_500));
        fleet.await("the booking runs", () -> fleet.runs(key) == 1);
        List<Future<Void>> load = new ArrayList<>();
        for (int caller = 0; caller < 4; caller++) {
            int other = others.get(caller % 2);
            load.add(callers.submit(() -> {
                for (int request = 0; request < 30; request++) {
                    int sizeBytes = request % 5 == 0 ? 1_000_000 : 300;
                    answers.add(lookUp(announced.get() ? other : stopped, sizeBytes));
                }
                return null;
            }));
        }
        fleet.await("requests were answered", () -> answers.size() >= 8);
        fleet.signal(stopped, "TERM");
        fleet.await("the daemon no longer serves new work", () -> !"serving".equals(fleet.state(stopped)));
        announced.set(true);
        awaitAll(load);
        assertThat(answers).allMatch(answer -> answer.kind() == Kind.RIGHT);
        assertThat(running.get().kind()).as(running.get().toString()).isEqualTo(Kind.RIGHT);
        fleet.await("the process ends", () -> !fleet.daemon(stopped).isAlive());
        assertThat(fleet.daemon(stopped).exitValue()).isZero();
        // JSON is the default log format, which the settings do not change.
        assertThat(fleet.log(stopped)).allSatisfy(entry -> {
            assertThat(Instant.parse(entry.get("timestamp").asText())).isAfter(Instant.EPOCH);
            assertThat(List.of("level", "loggerName", "message")).allMatch(entry::hasNonNull);
        });
        assertThat(fleet.log(stopped))
                .extracting(entry -> entry.get("message").asText())
                .contains("Daemon d" + stopped + " has stopped");
        fleet.await("the other daemons remove the stopped one", () -> areTheOnlyMembers(others));
        assertServed(others, 20);
    }

    // Guards against requests that need the store, a table change that is accepted without it, and a daemon that starts
    // without it and serves an old table or none.
    private void storeOutageBlocksOnlyTableChanges() throws Exception {
        long first = fleet.tableVersion(0);
        String change = "apply " + fleet.table("second", "route:/routed,,,,,,,,," + ProcessFleet.SERVICE + ",\n")
                + " --base " + first;
        List<Future<Void>> load = new ArrayList<>();
        Queue<Answer> answers = new ConcurrentLinkedQueue<>();
        AtomicBoolean refused = new AtomicBoolean();
        for (int i = 0; i < COUNT; i++) {
            int daemon = i;
            load.add(callers.submit(() -> {
                for (int request = 0; request < 60 && !refused.get(); request++) {
                    answers.add(fleet.lookUp(daemon, target(100, 300)));
                }
                return null;
            }));
        }
        fleet.await("requests were answered", () -> answers.size() >= 6);
        fleet.killStore();
        // Exit code 3: the store does not answer, so nothing was changed.
        assertThat(fleet.tool(change)).isEqualTo(3);
        refused.set(true);
        awaitAll(load);
        assertThat(answers).allMatch(answer -> answer.kind() == Kind.RIGHT);
        int late = fleet.startDaemon();
        fleet.await(
                "the new daemon has the table of its peers",
                () -> fleet.everyDaemon(i -> fleet.members(i) == COUNT + 1 && fleet.tableVersion(i) == first));
        assertServed(List.of(0, 1, 2, late), 40);
        assertThat(fleet.lookUp(0, ROUTED).reason()).isEqualTo("unknown-service");
        String served = lookUp(late, 300).requestId();
        assertThat(fleet.tool("explain " + served)).isZero();
        assertThat(fleet.toolOutput()).contains("daemon d" + late, "request: " + served, "outcome: backend");
        fleet.startStore();
        // Exit code 0: accepted and in force everywhere.
        assertThat(fleet.tool(change)).isZero();
        long second = fleet.tableVersion(0);
        assertThat(second).isGreaterThan(first);
        for (int daemon = 0; daemon <= COUNT; daemon++) {
            assertThat(fleet.tableVersion(daemon)).isEqualTo(second);
            Answer routed = fleet.lookUp(daemon, ROUTED);
            assertThat(routed.kind()).as(routed.toString()).isEqualTo(Kind.RIGHT);
        }
    }

    private Answer lookUp(int daemon, int sizeBytes) {
        return fleet.lookUp(daemon, target(10, sizeBytes));
    }

    private BackendTarget target(int serviceMillis, int sizeBytes) {
        return new BackendTarget("/work/" + lookUpNumbers.incrementAndGet(), serviceMillis, sizeBytes);
    }

    /** Sends a booking to its executor and then to the other daemons in turn; returns the last answer. */
    private Answer bookUntilAnswered(int executor, List<Integer> others, String key) {
        Answer answer = fleet.book(executor, key, 20);
        for (int send = 0; send < 4 && answer.kind() != Kind.RIGHT; send++) {
            answer = fleet.book(others.get(send % 2), key, 20);
        }
        return answer;
    }

    /** Sends look-ups to the daemons in turn, four at a time; each must get its own complete answer. */
    private void assertServed(List<Integer> daemons, int count) throws Exception {
        List<Future<Void>> load = new ArrayList<>();
        for (int caller = 0; caller < 4; caller++) {
            int offset = caller;
            load.add(callers.submit(() -> {
                for (int i = offset; i < count; i += 4) {
                    Answer answer = lookUp(daemons.get((i / 4 + offset) % daemons.size()), 300);
                    assertThat(answer.kind()).as(answer.toString()).isEqualTo(Kind.RIGHT);
                }
                return null;
            }));
        }
        awaitAll(load);
    }

    private static void awaitAll(List<Future<Void>> load) throws Exception {
        for (Future<Void> task : load) {
            task.get(60, TimeUnit.SECONDS);
        }
    }

    /** Returns whether the member list of each of these daemons has no other members. */
    private boolean areTheOnlyMembers(List<Integer> daemons) throws Exception {
        boolean onlyMembers = true;
        for (int daemon : daemons) {
            onlyMembers &= fleet.members(daemon) == daemons.size();
        }
        return onlyMembers;
    }

    private List<Integer> daemonsExcept(int daemon) {
        return IntStream.range(0, fleet.size()).filter(i -> i != daemon).boxed().toList();
    }
}
