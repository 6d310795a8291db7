package org.heatherreach.coordination.atmostonce;

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

    /** The faults of the executor, the witnesses and their links. The key determines which daemons are affected. */
    private enum Fault {
        KILL_EXECUTOR((fleet, key) -> fleet.nodes.get(EXECUTOR).kill()),
        RESTART_EXECUTOR((fleet, key) -> fleet.nodes.get(EXECUTOR).restart()),
        PAUSE_EXECUTOR((fleet, key) -> fleet.nodes.get(EXECUTOR).pause()),
        KILL_FIRST((fleet, key) -> fleet.nodes.get(firstWitness(fleet, key)).kill()),
        KILL_SECOND((fleet, key) -> fleet.nodes.get(secondWitness(fleet, key)).kill()),
        RESTART_FIRST((fleet, key) -> fleet.nodes.get(firstWitness(fleet, key)).restart()),
        PAUSE_FIRST((fleet, key) -> fleet.nodes.get(firstWitness(fleet, key)).pause()),
        KILL_WITNESSES((fleet, key) -> {
            fleet.nodes.get(firstWitness(fleet, key)).kill();
            fleet.nodes.get(secondWitness(fleet, key)).kill();
        }),
        KILL_EXECUTOR_AND_FIRST((fleet, key) -> {
            fleet.nodes.get(EXECUTOR).kill();
            fleet.nodes.get(firstWitness(fleet, key)).kill();
        }),
        PAUSE_EXECUTOR_KILL_SECOND((fleet, key) -> {
            fleet.nodes.get(EXECUTOR).pause();
            fleet.nodes.get(secondWitness(fleet, key)).kill();
        }),
        CUT_FIRST((fleet, key) -> fleet.cutLink(EXECUTOR, firstWitness(fleet, key))),
        CUT_FIRST_BACK((fleet, key) -> fleet.cutLink(firstWitness(fleet, key), EXECUTOR)),
        CUT_WITNESSES((fleet, key) -> {
            fleet.cutLink(EXECUTOR, firstWitness(fleet, key));
            fleet.cutLink(EXECUTOR, secondWitness(fleet, key));
        }),
        CUT_EXECUTOR_OFF((fleet, key) -> {
            for (int i = 1; i < DAEMONS; i++) {
                fleet.cutLink(i, EXECUTOR);
            }
        }),
        KEEP_WITNESSES_ONLY((fleet, key) -> {
            for (int i = 1; i < DAEMONS; i++) {
                if (i != firstWitness(fleet, key) && i != secondWitness(fleet, key)) {
                    fleet.cutLink(i, EXECUTOR);
                }
            }
        });

        private final BiConsumer<SimulatedFleet, ExecutionKey> effect;

        Fault(BiConsumer<SimulatedFleet, ExecutionKey> effect) {
            this.effect = effect;
        }
    }

    private static int firstWitness(SimulatedFleet fleet, ExecutionKey key) {
        return Math.max(1, fleet.indexOf(key.firstWitness()));
    }

    private static int secondWitness(SimulatedFleet fleet, ExecutionKey key) {
        return Math.max(1, fleet.indexOf(key.secondWitness()));
    }

    private static SimulatedFleet createFleet(boolean naive, long seed) {
        return new SimulatedFleet(naive, seed, DAEMONS, ExecutionLimits.standard());
    }

    /**
     * Sends a request with a key, applies the fault before the given delivery, and resends the request to the given
     * daemon: after a short delay, after the fault was detected, and after all links and paused daemons were restored.
     * The last time it is resent to the executor too.
     */
    private static List<RequestId> runScenario(
            SimulatedFleet fleet, Fault fault, int faultStep, int resendNode, int resendDelayMillis) {
        ExecutionKey key = fleet.issue(EXECUTOR);
        int[] deliveries = {0};
        fleet.beforeDelivery = () -> {
            if (deliveries[0]++ == faultStep) {
                fault.effect.accept(fleet, key);
            }
        };
        List<RequestId> sends = new ArrayList<>();
        sends.add(fleet.send(EXECUTOR, key));
        fleet.run(resendDelayMillis);
        sends.add(fleet.send(resendNode, key));
        fleet.run(7_000);
        sends.add(fleet.send(resendNode, key));
        fleet.run(3_000);
        fleet.beforeDelivery = () -> {};
        fleet.restoreLinks();
        fleet.nodes.stream().filter(node -> node.paused).forEach(SimulatedFleet.Node::resume);
        fleet.run(500);
        sends.add(fleet.send(EXECUTOR, key));
        sends.add(fleet.send(resendNode, key));
        fleet.run(5_000);
        return sends;
    }

    /** Guards against a second run of a key, and against a false "not run", for each fault before each delivery. */
    @Example
    void faultMatrix() {
        int unknownScenarios = 0;
        int scenarios = 0;
        for (Fault fault : Fault.values()) {
            for (int step = 0; step < 16; step++) {
                for (int resendDelayMillis : new int[] {2, 12, 60}) {
                    for (int resendNode : new int[] {EXECUTOR, 4, 5, 8}) {
                        SimulatedFleet fleet = createFleet(false, step);
                        List<RequestId> sends = runScenario(fleet, fault, step, resendNode, resendDelayMillis);
                        assertThat(fleet.violations)
                                .as(
                                        "%s at step %d, resend to %d after %d ms",
                                        fault, step, resendNode, resendDelayMillis)
                                .isEmpty();
                        scenarios++;
                        unknownScenarios +=
                                sends.stream().anyMatch(send -> fleet.outcome(send) == Outcome.UNKNOWN) ? 1 : 0;
                    }
                }
            }
        }
        // Some scenarios have to end in states in which the outcome can't be known, but fewer than half of them.
        assertThat(unknownScenarios).isPositive().isLessThan(scenarios / 2);
    }

    /** Guards against a fault matrix that can't fail: the naive version runs keys twice under the same faults. */
    @Example
    void naiveVersionFailsTheFaultMatrix() {
        List<Fault> failing = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            boolean failed = false;
            for (int step = 0; step < 16; step++) {
                for (int resendNode : new int[] {EXECUTOR, 4, 5, 8}) {
                    SimulatedFleet fleet = createFleet(true, step);
                    runScenario(fleet, fault, step, resendNode, 60);
                    failed |= !fleet.violations.isEmpty();
                }
            }
            if (failed) {
                failing.add(fault);
            }
        }
        assertThat(failing).contains(Fault.KILL_EXECUTOR, Fault.PAUSE_EXECUTOR, Fault.CUT_EXECUTOR_OFF);
    }

    /** Guards against the outcome {@code unknown} in cases that the package documentation does not list. */
    @Example
    void unknownOnlyBetweenIntentAndOutcomeCopy() {
        for (int step = 0; step < 16; step++) {
            SimulatedFleet fleet = createFleet(false, step);
            ExecutionKey key = fleet.issue(EXECUTOR);
            SimulatedFleet.Node firstWitness = fleet.nodes.get(firstWitness(fleet, key));
            SimulatedFleet.Node secondWitness = fleet.nodes.get(secondWitness(fleet, key));
            int killStep = step;
            int[] deliveries = {0};
            OutcomeAnswer.Kind[] witnessKnowledge = new OutcomeAnswer.Kind[2];
            fleet.beforeDelivery = () -> {
                if (deliveries[0]++ == killStep) {
                    fleet.nodes.get(EXECUTOR).kill();
                }
            };
            fleet.send(EXECUTOR, key);
            fleet.run(500);
            OutcomeQuery query = new OutcomeQuery(key, false);
            witnessKnowledge[0] =
                    firstWitness.witness.handleQuery(query, fleet.nowNanos).kind();
            witnessKnowledge[1] =
                    secondWitness.witness.handleQuery(query, fleet.nowNanos).kind();
            RequestId retry = fleet.send(5, key);
            fleet.run(8_000);
            if (deliveries[0] <= killStep || List.of(witnessKnowledge).contains(OutcomeAnswer.Kind.RECORDED)) {
                assertThat(fleet.outcome(retry)).isEqualTo(Outcome.BACKEND);
            } else if (List.of(witnessKnowledge).contains(OutcomeAnswer.Kind.INTENT)) {
                assertThat(fleet.outcome(retry)).isEqualTo(Outcome.UNKNOWN);
            } else {
                assertThat(fleet.outcome(retry)).isEqualTo(Outcome.NOT_RUN);
            }
        }
    }

    /**
     * Guards against second runs and a false "not run" under concurrent faults, shedding, duplicates and reordering.
     */
    @Property(seed = "7401", tries = 300)
    void concurrentFaults(@ForAll @Size(min = 3, max = 14) List<@IntRange(min = 0, max = 9_999) Integer> steps) {
        SimulatedFleet fleet = createFleet(false, steps.hashCode());
        applySteps(fleet, steps);
        assertThat(fleet.violations).isEmpty();
    }

    /** Guards against a property that can't fail: the naive version violates it under random faults. */
    @Example
    void naiveVersionFailsConcurrentFaults() {
        Random random = new Random(7401);
        SimulatedFleet fleet = createFleet(true, 7401);
        for (int i = 0; i < 10; i++) {
            applySteps(fleet, random.ints(14, 0, 10_000).boxed().toList());
        }
        assertThat(fleet.violations).isNotEmpty();
    }

    private static void applySteps(SimulatedFleet fleet, List<Integer> steps) {
        fleet.jitterMillis = 20;
        fleet.duplicateProbability = 0.2;
        fleet.shedProbability = 0.3;
        List<ExecutionKey> keys = new ArrayList<>();
        for (int i = 0; i < 3 && fleet.nodes.get(i).up; i++) {
            keys.add(fleet.issue(i));
        }
        for (int step : steps) {
            int node = step % DAEMONS;
            int otherNode = step / DAEMONS % DAEMONS;
            SimulatedFleet.Node target = fleet.nodes.get(node);
            switch (step / 100 % 8) {
                case 0 -> target.kill();
                case 1 -> target.restart();
                case 2 -> target.pause();
                case 3 -> {
                    if (target.paused) {
                        target.resume();
                    }
                }
                case 4 -> fleet.cutLink(node, otherNode);
                case 5 -> fleet.restoreLinks();
                default -> {
                    // No fault in this step.
                }
            }
            for (ExecutionKey key : keys) {
                if (fleet.nodes.get(otherNode).up) {
                    fleet.send(otherNode, key);
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

    /** Guards against "not run" for a key that ran and whose records have expired on all daemons. */
    @Example
    void expiredKeyIsUnknownInsteadOfNotRun() {
        ExecutionLimits limits = new ExecutionLimits(
                TimeUnit.SECONDS.toNanos(5),
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.SECONDS.toNanos(3),
                100,
                100,
                1 << 20);
        SimulatedFleet fleet = new SimulatedFleet(false, 3, DAEMONS, limits);
        ExecutionKey unused = fleet.issue(EXECUTOR);
        ExecutionKey key = fleet.issue(EXECUTOR);
        fleet.send(EXECUTOR, key);
        fleet.run(200);
        assertThat(fleet.runCounts).containsEntry(key, 1);
        fleet.nodes.get(EXECUTOR).kill();
        fleet.run(10_000);
        RequestId late = fleet.send(5, key);
        fleet.run(2_000);
        assertThat(fleet.outcome(late)).isEqualTo(Outcome.UNKNOWN);
        SimulatedFleet.Node witness = fleet.nodes.get(secondWitness(fleet, key));
        assertThat(witness.witness
                        .handleQuery(new OutcomeQuery(key, true), fleet.nowNanos)
                        .kind())
                .isEqualTo(OutcomeAnswer.Kind.EXPIRED);
        assertThat(unused.sequence()).isLessThan(key.sequence());
    }

    /** Guards against a retry that gets no recorded answer although only the executor has failed. */
    @Example
    void retriesGetTheRecordedAnswer() {
        SimulatedFleet fleet = createFleet(false, 5);
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
        assertThat(fleet.runCounts).containsEntry(key, 1);
    }
}
