package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.rank.Rank;

import static org.assertj.core.api.Assertions.assertThat;

class SlotLeaseProperties {
    private static final int STEPS = 400;
    private static final int TOTAL_SLOTS = SlotSimulation.SERVERS * SlotSimulation.SLOTS;

    /** The largest counts seen on any server during a simulation. */
    private record Peaks(SlotSimulation simulation, int leases, int maxInUse, int running) {}

    /** Simulates random events while messages are delayed, reordered, repeated and, if lossy, lost. */
    private static Peaks runRandomEvents(long seed, boolean naive, boolean lossy) {
        Random random = new Random(seed);
        SlotSimulation simulation = new SlotSimulation(naive);
        int leases = 0;
        int maxInUse = 0;
        int running = 0;
        for (int step = 0; step < STEPS; step++) {
            int daemon = random.nextInt(SlotSimulation.DAEMONS);
            int choice = random.nextInt(100);
            if (choice < 35) {
                simulation.submit(daemon, Rank.values()[random.nextInt(3)], 50 + random.nextInt(1_500));
            } else if (choice < 55) {
                completeOne(simulation, random);
            } else if (choice < 58) {
                cancelOneQueued(simulation, random);
            } else if (choice < 88 && !simulation.messages.isEmpty()) {
                simulation.deliver(random.nextInt(simulation.messages.size()));
            } else if (choice < 91 && !simulation.messages.isEmpty()) {
                simulation.deliverCopy(random.nextInt(simulation.messages.size()));
            } else if (choice < 94 && lossy && !simulation.messages.isEmpty()) {
                simulation.messages.remove(random.nextInt(simulation.messages.size()));
            } else {
                simulation.advance(random.nextInt(100) * SlotSimulation.NANOS_PER_MILLI);
            }
            for (SlotServer server : simulation.listed) {
                running = Math.max(running, simulation.runningOn(server.server()));
                if (!naive) {
                    leases = Math.max(leases, simulation.leasedSlotsOf(server.server()));
                    maxInUse = Math.max(maxInUse, simulation.ledger.maxInUseOf(server.server()));
                }
            }
        }
        return new Peaks(simulation, leases, maxInUse, running);
    }

    private static void completeOne(SlotSimulation simulation, Random random) {
        if (!simulation.running.isEmpty()) {
            List<RequestId> ids = new ArrayList<>(simulation.running.keySet());
            ids.sort(null);
            simulation.complete(ids.get(random.nextInt(ids.size())));
        }
    }

    private static void cancelOneQueued(SlotSimulation simulation, Random random) {
        List<RequestId> ids = new ArrayList<>(simulation.submitted);
        ids.removeAll(simulation.decisionCounts.keySet());
        ids.sort(null);
        if (!ids.isEmpty()) {
            RequestId id = ids.get(random.nextInt(ids.size()));
            for (int i = 0; i < SlotSimulation.DAEMONS; i++) {
                simulation.cancel(i, id);
            }
        }
    }

    /**
     * Completes all requests and delivers all messages until no rank has recent arrivals, since the guarantee of a rank
     * with recent arrivals reserves slots.
     */
    private static void settle(SlotSimulation simulation) {
        for (int i = 0; i < 40; i++) {
            simulation.deliverAll();
            for (RequestId id : new ArrayList<>(simulation.running.keySet())) {
                simulation.complete(id);
            }
            simulation.advance(1_000 * SlotSimulation.NANOS_PER_MILLI);
        }
        simulation.deliverAll();
    }

    // Guards against a slot that is leased to two daemons at once after messages were reordered, repeated or lost.
    @Property(seed = "4101", tries = 200)
    void leasesNeverExceedSlots(@ForAll long seed, @ForAll boolean lossy) {
        Peaks peaks = runRandomEvents(seed, false, lossy);
        assertThat(peaks.leases()).isLessThanOrEqualTo(SlotSimulation.SLOTS);
    }

    // Guards against a slot that is granted to another daemon while it is still in use. The baseline without
    // coordination must overload servers, which shows that the events suffice to find the failure.
    @Property(seed = "4102", tries = 200)
    void slotInUseIsNotGrantedAgain(@ForAll long seed, @ForAll boolean lossy) {
        assertThat(runRandomEvents(seed, false, lossy).running()).isLessThanOrEqualTo(SlotSimulation.SLOTS);
        assertThat(runRandomEvents(seed, true, lossy).running()).isGreaterThan(SlotSimulation.SLOTS);
    }

    // Guards against a request that is both refused and dispatched, dispatched twice, or left in a queue forever.
    @Property(seed = "4103", tries = 200)
    void everyRequestGetsOneDecision(@ForAll long seed, @ForAll boolean lossy) {
        SlotSimulation simulation = runRandomEvents(seed, false, lossy).simulation();
        settle(simulation);
        for (RequestId id : simulation.submitted) {
            int expected = simulation.cancelled.contains(id) ? 0 : 1;
            assertThat(simulation.decisionCounts.getOrDefault(id, 0))
                    .as(id.value())
                    .isEqualTo(expected);
        }
    }

    // Guards against slots that no daemon can use any more because messages about them were lost.
    @Property(seed = "4104", tries = 200)
    void everySlotIsUsableAfterLostMessages(@ForAll long seed) {
        SlotSimulation simulation = runRandomEvents(seed, false, true).simulation();
        settle(simulation);
        for (int i = 0; i < TOTAL_SLOTS; i++) {
            simulation.submit(i % SlotSimulation.DAEMONS, Rank.URGENT, 1_000);
            simulation.deliverAll();
        }
        for (int i = 0; i < 4; i++) {
            simulation.advance(50 * SlotSimulation.NANOS_PER_MILLI);
            simulation.deliverAll();
        }
        assertThat(simulation.running).hasSize(TOTAL_SLOTS);
    }
}
