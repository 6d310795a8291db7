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
    private static final int TOTAL_SLOTS = SlotFleet.SERVERS * SlotFleet.SLOTS;

    /** The largest counts seen on any server during a run. */
    private record Peaks(SlotFleet fleet, int leases, int bound, int running) {}

    /** Runs random events against a fleet whose messages are delayed, reordered, repeated and, if lossy, lost. */
    private static Peaks run(long seed, boolean naive, boolean lossy) {
        Random random = new Random(seed);
        SlotFleet fleet = new SlotFleet(naive);
        int leases = 0;
        int bound = 0;
        int running = 0;
        for (int step = 0; step < STEPS; step++) {
            int daemon = random.nextInt(SlotFleet.DAEMONS);
            int choice = random.nextInt(100);
            if (choice < 35) {
                fleet.submit(daemon, Rank.values()[random.nextInt(3)], 50 + random.nextInt(1_500));
            } else if (choice < 55) {
                completeOne(fleet, random);
            } else if (choice < 58) {
                cancelOneQueued(fleet, random);
            } else if (choice < 88 && !fleet.messages.isEmpty()) {
                fleet.deliver(random.nextInt(fleet.messages.size()));
            } else if (choice < 91 && !fleet.messages.isEmpty()) {
                fleet.repeat(random.nextInt(fleet.messages.size()));
            } else if (choice < 94 && lossy && !fleet.messages.isEmpty()) {
                fleet.messages.remove(random.nextInt(fleet.messages.size()));
            } else {
                fleet.advance(random.nextInt(100) * SlotFleet.MILLI);
            }
            for (SlotServer server : fleet.listed) {
                running = Math.max(running, fleet.runningOn(server.server()));
                if (!naive) {
                    leases = Math.max(leases, fleet.leasesOf(server.server()));
                    bound = Math.max(bound, fleet.ledger.boundOf(server.server()));
                }
            }
        }
        return new Peaks(fleet, leases, bound, running);
    }

    private static void completeOne(SlotFleet fleet, Random random) {
        if (!fleet.running.isEmpty()) {
            List<RequestId> ids = new ArrayList<>(fleet.running.keySet());
            ids.sort(null);
            fleet.complete(ids.get(random.nextInt(ids.size())));
        }
    }

    private static void cancelOneQueued(SlotFleet fleet, Random random) {
        List<RequestId> ids = new ArrayList<>(fleet.submitted);
        ids.removeAll(fleet.decisions.keySet());
        ids.sort(null);
        if (!ids.isEmpty()) {
            RequestId id = ids.get(random.nextInt(ids.size()));
            for (int i = 0; i < SlotFleet.DAEMONS; i++) {
                fleet.cancel(i, id);
            }
        }
    }

    /** Lets every message arrive until no rank has recent arrivals, whose guarantees would reserve slots. */
    private static void settle(SlotFleet fleet) {
        for (int i = 0; i < 40; i++) {
            fleet.deliverAll();
            for (RequestId id : new ArrayList<>(fleet.running.keySet())) {
                fleet.complete(id);
            }
            fleet.advance(1_000 * SlotFleet.MILLI);
        }
        fleet.deliverAll();
    }

    // Guards against a slot leased to two daemons at once after any order, repetition or loss of messages.
    @Property(seed = "4101", tries = 200)
    void leasesNeverExceedSlots(@ForAll long seed, @ForAll boolean lossy) {
        Peaks peaks = run(seed, false, lossy);
        assertThat(peaks.leases()).isLessThanOrEqualTo(SlotFleet.SLOTS);
    }

    // Guards against a slot that is still in use being granted to another daemon; daemons alone overload servers.
    @Property(seed = "4102", tries = 200)
    void slotInUseIsNotGrantedAgain(@ForAll long seed, @ForAll boolean lossy) {
        assertThat(run(seed, false, lossy).running()).isLessThanOrEqualTo(SlotFleet.SLOTS);
        assertThat(run(seed, true, lossy).running()).isGreaterThan(SlotFleet.SLOTS);
    }

    // Guards against a request that is both refused and dispatched, dispatched twice, or forgotten in a queue.
    @Property(seed = "4103", tries = 200)
    void everyRequestGetsOneDecision(@ForAll long seed, @ForAll boolean lossy) {
        SlotFleet fleet = run(seed, false, lossy).fleet();
        settle(fleet);
        for (RequestId id : fleet.submitted) {
            int expected = fleet.cancelled.contains(id) ? 0 : 1;
            assertThat(fleet.decisions.getOrDefault(id, 0)).as(id.value()).isEqualTo(expected);
        }
    }

    // Guards against slots that nobody can use any more after messages were lost.
    @Property(seed = "4104", tries = 200)
    void everySlotIsUsableAfterLostMessages(@ForAll long seed) {
        SlotFleet fleet = run(seed, false, true).fleet();
        settle(fleet);
        for (int i = 0; i < TOTAL_SLOTS; i++) {
            fleet.submit(i % SlotFleet.DAEMONS, Rank.URGENT, 1_000);
            fleet.deliverAll();
        }
        for (int i = 0; i < 4; i++) {
            fleet.advance(50 * SlotFleet.MILLI);
            fleet.deliverAll();
        }
        assertThat(fleet.running).hasSize(TOTAL_SLOTS);
    }
}
