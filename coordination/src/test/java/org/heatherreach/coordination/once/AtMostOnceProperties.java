package org.heatherreach.coordination.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

class AtMostOnceProperties {
    private static final int DAEMONS = 9;
    private static final int EXECUTOR = 0;

    /** Every fault of the executor, the witnesses and their links; the key names the victims. */
    private enum Fault {
        KILL_EXECUTOR((fleet, key) -> fleet.nodes.get(EXECUTOR).kill()),
        RESTART_EXECUTOR((fleet, key) -> fleet.nodes.get(EXECUTOR).restart()),
        PAUSE_EXECUTOR((fleet, key) -> fleet.nodes.get(EXECUTOR).pause()),
        KILL_FIRST((fleet, key) -> fleet.nodes.get(first(fleet, key)).kill()),
        KILL_SECOND((fleet, key) -> fleet.nodes.get(second(fleet, key)).kill()),
        RESTART_FIRST((fleet, key) -> fleet.nodes.get(first(fleet, key)).restart()),
        PAUSE_FIRST((fleet, key) -> fleet.nodes.get(first(fleet, key)).pause()),
        KILL_WITNESSES((fleet, key) -> {
            fleet.nodes.get(first(fleet, key)).kill();
            fleet.nodes.get(second(fleet, key)).kill();
        }),
        KILL_EXECUTOR_AND_FIRST((fleet, key) -> {
            fleet.nodes.get(EXECUTOR).kill();
            fleet.nodes.get(first(fleet, key)).kill();
        }),
        PAUSE_EXECUTOR_KILL_SECOND((fleet, key) -> {
            fleet.nodes.get(EXECUTOR).pause();
            fleet.nodes.get(second(fleet, key)).kill();
        }),
        CUT_FIRST((fleet, key) -> fleet.cut(EXECUTOR, first(fleet, key))),
        CUT_FIRST_BACK((fleet, key) -> fleet.cut(first(fleet, key), EXECUTOR)),
        CUT_WITNESSES((fleet, key) -> {
            fleet.cut(EXECUTOR, first(fleet, key));
            fleet.cut(EXECUTOR, second(fleet, key));
        }),
        CUT_EXECUTOR_OFF((fleet, key) -> {
            for (int i = 1; i < DAEMONS; i++) {
                fleet.cut(i, EXECUTOR);
            }
        }),
        KEEP_WITNESSES_ONLY((fleet, key) -> {
            for (int i = 1; i < DAEMONS; i++) {
                if (i != first(fleet, key) && i != second(fleet, key)) {
                    fleet.cut(i, EXECUTOR);
                }
            }
        });

        private final BiConsumer<OnceFleetFake, ExecutionKey> effect;

        Fault(BiConsumer<OnceFleetFake, ExecutionKey> effect) {
            this.effect = effect;
        }
    }

    private static int first(OnceFleetFake fleet, ExecutionKey key) {
        return Math.max(1, fleet.indexOf(key.firstWitness()));
    }

    private static int second(OnceFleetFake fleet, ExecutionKey key) {
        return Math.max(1, fleet.indexOf(key.secondWitness()));
    }

    private static OnceFleetFake fleet(boolean naive, long seed) {
        return new OnceFleetFake(naive, seed, DAEMONS, OnceLimits.standard());
    }

    /**
     * Sends one keyed request, applies the fault before the given delivery, and resends to the given daemons: after a
     * short wait, after the fault was detected, and after everything was repaired.
     */
    private static List<RequestId> scenario(OnceFleetFake fleet, Fault fault, int step, int other, int quickMillis) {
        ExecutionKey key = fleet.issue(EXECUTOR);
        int[] seen = {0};
        fleet.beforeDelivery = () -> {
            if (seen[0]++ == step) {
                fault.effect.accept(fleet, key);
            }
        };
        List<RequestId> sends = new ArrayList<>();
        sends.add(fleet.send(EXECUTOR, key));
        fleet.run(quickMillis);
        sends.add(fleet.send(other, key));
        fleet.run(7_000);
        sends.add(fleet.send(other, key));
        fleet.run(3_000);
        fleet.beforeDelivery = () -> {};
        fleet.heal();
        fleet.nodes.stream().filter(node -> node.paused).forEach(OnceFleetFake.Node::resume);
        fleet.run(500);
        sends.add(fleet.send(EXECUTOR, key));
        sends.add(fleet.send(other, key));
        fleet.run(5_000);
        return sends;
    }

    /** Guards against a second run and a false "not run" under each fault at each step. */
    @Example
    void faultMatrix() {
        int unknown = 0;
        int scenarios = 0;
        for (Fault fault : Fault.values()) {
            for (int step = 0; step < 16; step++) {
                for (int quickMillis : new int[] {2, 12, 60}) {
                    for (int other : new int[] {EXECUTOR, 4, 5, 8}) {
                        OnceFleetFake fleet = fleet(false, step);
                        List<RequestId> sends = scenario(fleet, fault, step, other, quickMillis);
                        assertThat(fleet.violations)
                                .as("%s at step %d, resend to %d after %d ms", fault, step, other, quickMillis)
                                .isEmpty();
                        scenarios++;
                        unknown += sends.stream().anyMatch(send -> fleet.outcome(send) == Outcome.UNKNOWN) ? 1 : 0;
                    }
                }
            }
        }
        // The matrix has to reach the states in which the truth can't be known, and must not end there always.
        assertThat(unknown).isPositive().isLessThan(scenarios / 2);
    }

    /** Guards against a matrix that can't fail: the naive version runs keys twice under the same faults. */
    @Example
    void naiveVersionFailsTheMatrix() {
        List<Fault> failing = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            boolean failed = false;
            for (int step = 0; step < 16; step++) {
                for (int other : new int[] {EXECUTOR, 4, 5, 8}) {
                    OnceFleetFake fleet = fleet(true, step);
                    scenario(fleet, fault, step, other, 60);
                    failed |= !fleet.violations.isEmpty();
                }
            }
            if (failed) {
                failing.add(fault);
            }
        }
        assertThat(failing).contains(Fault.KILL_EXECUTOR, Fault.PAUSE_EXECUTOR, Fault.CUT_EXECUTOR_OFF);
    }

    /** Guards against {@code unknown} outside the cases that the package documentation lists. */
    @Example
    void unknownOnlyBetweenIntentAndOutcomeCopy() {
        for (int step = 0; step < 16; step++) {
            OnceFleetFake fleet = fleet(false, step);
            ExecutionKey key = fleet.issue(EXECUTOR);
            OnceFleetFake.Node near = fleet.nodes.get(first(fleet, key));
            OnceFleetFake.Node far = fleet.nodes.get(second(fleet, key));
            int at = step;
            int[] seen = {0};
            OutcomeAnswer.Kind[] known = new OutcomeAnswer.Kind[2];
            fleet.beforeDelivery = () -> {
                if (seen[0]++ == at) {
                    fleet.nodes.get(EXECUTOR).kill();
                }
            };
            fleet.send(EXECUTOR, key);
            fleet.run(500);
            OutcomeQuery look = new OutcomeQuery(key, false);
            known[0] = near.witness.query(look, fleet.nowNanos).kind();
            known[1] = far.witness.query(look, fleet.nowNanos).kind();
            RequestId retry = fleet.send(5, key);
            fleet.run(8_000);
            if (seen[0] <= at || List.of(known).contains(OutcomeAnswer.Kind.RECORDED)) {
                assertThat(fleet.outcome(retry)).isEqualTo(Outcome.BACKEND);
            } else if (List.of(known).contains(OutcomeAnswer.Kind.INTENT)) {
                assertThat(fleet.outcome(retry)).isEqualTo(Outcome.UNKNOWN);
            } else {
                assertThat(fleet.outcome(retry)).isEqualTo(Outcome.NOT_RUN);
            }
        }
    }

    /** Guards against second runs and false "not run" under several faults, shedding, duplicates and reordering. */
    @Property(seed = "7401", tries = 300)
    void concurrentFaults(@ForAll @Size(min = 3, max = 14) List<@IntRange(min = 0, max = 9_999) Integer> steps) {
        OnceFleetFake fleet = fleet(false, steps.hashCode());
        drive(fleet, steps);
        assertThat(fleet.violations).isEmpty();
    }

    /** Guards against a property that can't fail: the naive version breaks it under random faults. */
    @Example
    void naiveVersionFailsConcurrentFaults() {
        Random random = new Random(7401);
        OnceFleetFake fleet = fleet(true, 7401);
        for (int i = 0; i < 10; i++) {
            drive(fleet, random.ints(14, 0, 10_000).boxed().toList());
        }
        assertThat(fleet.violations).isNotEmpty();
    }

    private static void drive(OnceFleetFake fleet, List<Integer> steps) {
        fleet.jitterMillis = 20;
        fleet.duplicates = 0.2;
        fleet.shedding = 0.3;
        List<ExecutionKey> keys = new ArrayList<>();
        for (int i = 0; i < 3 && fleet.nodes.get(i).up; i++) {
            keys.add(fleet.issue(i));
        }
        for (int step : steps) {
            int node = step % DAEMONS;
            int other = step / DAEMONS % DAEMONS;
            OnceFleetFake.Node target = fleet.nodes.get(node);
            switch (step / 100 % 8) {
                case 0 -> target.kill();
                case 1 -> target.restart();
                case 2 -> target.pause();
                case 3 -> {
                    if (target.paused) {
                        target.resume();
                    }
                }
                case 4 -> fleet.cut(node, other);
                case 5 -> fleet.heal();
                default -> {
                    // Sends stand below.
                }
            }
            for (ExecutionKey key : keys) {
                if (fleet.nodes.get(other).up) {
                    fleet.send(other, key);
                }
                int executor = fleet.indexOf(key.issuer());
                if (executor >= 0 && step % 2 == 0) {
                    fleet.send(executor, key);
                }
            }
            fleet.run(step % 7 * step % 1_300 + 1);
        }
        fleet.run(3_000);
    }

    /** Guards against "not run" for a key whose records have expired everywhere. */
    @Example
    void expiredKeyIsUnknownNotBarred() {
        OnceLimits limits = new OnceLimits(
                TimeUnit.SECONDS.toNanos(5),
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.SECONDS.toNanos(3),
                100,
                100,
                1 << 20);
        OnceFleetFake fleet = new OnceFleetFake(false, 3, DAEMONS, limits);
        ExecutionKey unused = fleet.issue(EXECUTOR);
        ExecutionKey key = fleet.issue(EXECUTOR);
        fleet.send(EXECUTOR, key);
        fleet.run(200);
        assertThat(fleet.runs).containsEntry(key, 1);
        fleet.nodes.get(EXECUTOR).kill();
        fleet.run(10_000);
        RequestId late = fleet.send(5, key);
        fleet.run(2_000);
        assertThat(fleet.outcome(late)).isEqualTo(Outcome.UNKNOWN);
        OnceFleetFake.Node witness = fleet.nodes.get(second(fleet, key));
        assertThat(witness.witness
                        .query(new OutcomeQuery(key, true), fleet.nowNanos)
                        .kind())
                .isEqualTo(OutcomeAnswer.Kind.EXPIRED);
        assertThat(unused.sequence()).isLessThan(key.sequence());
    }

    /** Guards against a lone executor failure that costs a retry its answer. */
    @Example
    void retriesGetTheRecordedAnswer() {
        OnceFleetFake fleet = fleet(false, 5);
        ExecutionKey key = fleet.issue(EXECUTOR);
        RequestId first = fleet.send(EXECUTOR, key);
        RequestId waiting = fleet.send(EXECUTOR, key);
        RequestId forwarded = fleet.send(6, key);
        fleet.run(200);
        fleet.nodes.get(EXECUTOR).kill();
        fleet.run(200);
        RequestId after = fleet.send(7, key);
        fleet.run(6_000);
        for (RequestId request : List.of(first, waiting, forwarded, after)) {
            assertThat(fleet.outcome(request)).isEqualTo(Outcome.BACKEND);
        }
        assertThat(fleet.runs).containsEntry(key, 1);
    }
}
