package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Option;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.outcome.RetryReason;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.ServiceLimits;

import static org.assertj.core.api.Assertions.assertThat;

class SlotSimulationTest {
    private static final int TOTAL_SLOTS = SlotSimulation.SERVERS * SlotSimulation.SLOTS;

    private static SlotSimulation warmedUpSimulation() {
        SlotSimulation simulation = new SlotSimulation(false);
        for (int i = 0; i < 4; i++) {
            for (int daemon = 0; daemon < SlotSimulation.DAEMONS; daemon++) {
                simulation.submit(daemon, Rank.URGENT, 500);
            }
            simulation.deliverAll();
            new ArrayList<>(simulation.running.keySet()).forEach(simulation::complete);
            simulation.advance(250 * SlotSimulation.NANOS_PER_MILLI);
            simulation.deliverAll();
        }
        return simulation;
    }

    // Guards against a daemon that uses and reports slots which the owner has leased to others since. That happens if
    // the daemon, after a pause, applies grants and recalls that were delayed until its leases had expired.
    @Example
    void messagesDelayedPastLeaseExpiryGrantNoSlots() {
        ServerId server = new ServerId("s0");
        long nowNanos = 1_000 * SlotSimulation.NANOS_PER_MILLI;
        LeasedSlotPool pool = new LeasedSlotPool(
                SlotSimulation.limits(),
                SlotSimulation.ranks(),
                0,
                new ZoneId("z0"),
                workspace -> 2,
                new Random(1),
                nowNanos);
        pool.onServers(List.of(new SlotServer(server, new ZoneId("z0"), 100)), SlotSimulation.DAEMONS, nowNanos);
        List<SlotAction> actions = new ArrayList<>(pool.onOwner(SlotSimulation.OWNER, nowNanos));
        actions.addAll(pool.submit(request("first", nowNanos), nowNanos));
        pool.onGrant(SlotSimulation.OWNER, grant(server, 1, lastReport(actions).number(), 1), nowNanos);
        assertThat(pool.leasedSlotsOf(server, nowNanos)).isEqualTo(1);
        nowNanos += SlotLedger.LEASE_DURATION_NANOS + SlotSimulation.NANOS_PER_MILLI;
        pool.onGrant(SlotSimulation.OWNER, grant(server, 1, 0, 2), nowNanos);
        pool.onGrant(SlotSimulation.OWNER, grant(server, 2, 0, 3), nowNanos);
        pool.onRecall(
                SlotSimulation.OWNER,
                new SlotRecall(SlotSimulation.limits().service(), 0, List.of(new SlotLease(server, 1)), 4),
                nowNanos);
        nowNanos += SlotSimulation.NANOS_PER_MILLI;
        actions = new ArrayList<>(pool.submit(request("second", nowNanos), nowNanos));
        actions.addAll(pool.tick(nowNanos + 250 * SlotSimulation.NANOS_PER_MILLI));
        nowNanos += 250 * SlotSimulation.NANOS_PER_MILLI;
        SlotReport report = lastReport(actions);
        assertThat(report.holdings()).allMatch(holding -> holding.held() == 0);
        // The owner has dropped the expired daemon in the meantime, so its sequences start again below the applied
        // one.
        pool.onGrant(SlotSimulation.OWNER, grant(server, 1, report.number(), 2), nowNanos);
        assertThat(pool.hasValidLeases(nowNanos)).isTrue();
        assertThat(pool.leasedSlotsOf(server, nowNanos)).isZero();
    }

    // Guards against slots that are leased twice after a pause of the owner. That happens if a late report shows slots
    // of expired leases in use, and the owner leases these again to the reporting daemon because it may be using them
    // anyway.
    @Example
    void slotsReportedInUseAreNotLeasedBesideValidLeases() {
        ServerId server = new ServerId("s0");
        IncarnationId first = new IncarnationId(1);
        IncarnationId second = new IncarnationId(2);
        long nowNanos = 1_000 * SlotSimulation.NANOS_PER_MILLI;
        SlotLedger ledger = new SlotLedger(SlotSimulation.limits(), SlotSimulation.ranks(), 0, nowNanos);
        ledger.onServers(List.of(new SlotServer(server, new ZoneId("z0"), 100)), nowNanos);
        nowNanos += 300 * SlotSimulation.NANOS_PER_MILLI;
        ledger.onReport(first, reportWithDemand(List.of(), SlotSimulation.SLOTS, 1), nowNanos);
        assertThat(ledger.grantedTo(first, server)).isEqualTo(SlotSimulation.SLOTS);
        ledger.onReport(second, reportWithDemand(List.of(new SlotHolding(server, 1, 1)), 0, 1), nowNanos);
        ledger.onReport(second, reportWithDemand(List.of(), 1, 2), nowNanos);
        assertThat(ledger.grantedTo(first, server) + ledger.grantedTo(second, server))
                .isLessThanOrEqualTo(SlotSimulation.SLOTS);
    }

    private static SlotReport reportWithDemand(List<SlotHolding> holdings, int queued, long number) {
        List<RankDemand> demand = List.of(new RankDemand(Rank.URGENT, queued, 0, 10));
        return new SlotReport(SlotSimulation.limits().service(), 0, holdings, demand, number, 0);
    }

    private static SlotRequest request(String id, long nowNanos) {
        long deadlineNanos = nowNanos + 1_000 * SlotSimulation.NANOS_PER_MILLI;
        return new SlotRequest(new RequestId(id), Rank.URGENT, deadlineNanos, Option.none(), server -> true);
    }

    private static SlotGrant grant(ServerId server, int count, long reportNumber, long sequence) {
        return new SlotGrant(
                SlotSimulation.limits().service(),
                0,
                List.of(new SlotLease(server, count)),
                (int) (SlotLedger.LEASE_DURATION_NANOS / SlotSimulation.NANOS_PER_MILLI),
                reportNumber,
                sequence,
                List.of(9, 9, 9),
                9);
    }

    private static SlotReport lastReport(List<SlotAction> actions) {
        return actions.stream()
                .filter(SlotAction.SendReport.class::isInstance)
                .map(action -> ((SlotAction.SendReport) action).report())
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    /**
     * Returns the numbers of completed requests by rank while every daemon has requests of every rank; ten of twelve
     * are bulk.
     */
    private static int[] serveSaturated(boolean naive, long seed) {
        Random random = new Random(seed);
        SlotSimulation simulation = new SlotSimulation(naive);
        Map<RequestId, Rank> ranks = new HashMap<>();
        int[] served = new int[Rank.values().length];
        for (int step = 0; step < 4_000; step++) {
            Rank rank = random.nextInt(12) < 10 ? Rank.BULK : random.nextBoolean() ? Rank.URGENT : Rank.STANDARD;
            for (int i = 0; i < 4; i++) {
                ranks.put(simulation.submit(random.nextInt(SlotSimulation.DAEMONS), rank, 1_500), rank);
            }
            simulation.deliverAll();
            List<RequestId> ids = new ArrayList<>(simulation.running.keySet());
            ids.sort(null);
            for (RequestId id : ids) {
                if (random.nextInt(10) == 0) {
                    served[ranks.get(id).ordinal()]++;
                    simulation.complete(id);
                }
            }
            simulation.deliverAll();
            simulation.advance(4 * SlotSimulation.NANOS_PER_MILLI);
        }
        return served;
    }

    // Guards against a flood of bulk requests that takes the guaranteed share of another rank, as it does in the FIFO
    // queues of the baseline.
    @Property(seed = "4301", tries = 5)
    void saturatedRanksGetTheirGuarantees(@ForAll long seed) {
        int[] leased = serveSaturated(false, seed);
        int[] naive = serveSaturated(true, seed);
        int leasedSum = leased[0] + leased[1] + leased[2];
        int naiveSum = naive[0] + naive[1] + naive[2];
        for (Rank rank : Rank.values()) {
            int percent = SlotSimulation.ranks().get(rank).guaranteePercent();
            assertThat(100.0 * leased[rank.ordinal()] / leasedSum)
                    .as(rank.label())
                    .isGreaterThanOrEqualTo(percent);
        }
        assertThat(100.0 * naive[0] / naiveSum)
                .isLessThan(SlotSimulation.ranks().get(Rank.URGENT).guaranteePercent());
    }

    // Guards against a daemon that stops dispatching, or dispatches more than its local share, when no owner answers.
    @Example
    void localShareIsUsedWithoutAnOwner() {
        SlotSimulation simulation = warmedUpSimulation();
        for (int i = 0; i < 30; i++) {
            simulation.messages.clear();
            simulation.advance(100 * SlotSimulation.NANOS_PER_MILLI);
        }
        for (int daemon = 0; daemon < SlotSimulation.DAEMONS; daemon++) {
            simulation.submit(daemon, Rank.URGENT, 500);
            simulation.submit(daemon, Rank.URGENT, 500);
        }
        int share = Math.max(1, TOTAL_SLOTS / SlotSimulation.DAEMONS);
        assertThat(simulation.running).hasSize(SlotSimulation.DAEMONS * share);
        assertThat(simulation.pools).allMatch(pool -> ((LeasedSlotPool) pool).usesLocalShare());
    }

    // Guards against a new owner that leases slots that other daemons use, because it has not received their reports
    // yet.
    @Example
    void newOwnerRebuildsLeasesFromReports() {
        SlotSimulation simulation = warmedUpSimulation();
        for (int daemon = 0; daemon < SlotSimulation.DAEMONS; daemon++) {
            simulation.submit(daemon, Rank.URGENT, 5_000);
        }
        simulation.deliverAll();
        int runningBefore = simulation.running.size();
        simulation.replaceLedger();
        simulation.submit(0, Rank.URGENT, 5_000);
        simulation.submit(0, Rank.URGENT, 5_000);
        simulation.submit(0, Rank.URGENT, 5_000);
        for (int i = 0; i < 6; i++) {
            simulation.deliverAll();
            for (SlotServer server : simulation.listed) {
                assertThat(simulation.runningOn(server.server())).isLessThanOrEqualTo(SlotSimulation.SLOTS);
                assertThat(simulation.leasedSlotsOf(server.server())).isLessThanOrEqualTo(SlotSimulation.SLOTS);
            }
            simulation.advance(100 * SlotSimulation.NANOS_PER_MILLI);
        }
        assertThat(simulation.running.size()).isGreaterThan(runningBefore).isLessThanOrEqualTo(TOTAL_SLOTS);
    }

    // Guards against a daemon that applies the grants of two owners at once. Two owners may each lease all slots, but
    // only to the daemons that report to them.
    @Example
    void grantsOfAnotherOwnerAreIgnored() {
        SlotSimulation simulation = warmedUpSimulation();
        LeasedSlotPool pool = (LeasedSlotPool) simulation.pools.get(0);
        ServerId server = simulation.listed.get(0).server();
        int before = pool.leasedSlotsOf(server, simulation.nowNanos);
        SlotGrant grant = new SlotGrant(
                new ServiceId("s"),
                0,
                List.of(new SlotLease(server, before + 1)),
                2_000,
                1,
                1_000,
                List.of(9, 9, 9),
                9);
        pool.onGrant(new IncarnationId(77), grant, simulation.nowNanos);
        assertThat(pool.leasedSlotsOf(server, simulation.nowNanos)).isEqualTo(before);
    }

    // Guards against new requests on a server that is leaving or ejected, and against slots that stay unused after it
    // returns.
    @Example
    void unusableServerGetsNoNewRequests() {
        SlotSimulation simulation = warmedUpSimulation();
        SlotServer unusable = simulation.listed.get(0);
        simulation.listed.set(0, new SlotServer(unusable.server(), unusable.zone(), 0));
        simulation.applyListedServers();
        for (int i = 0; i < TOTAL_SLOTS; i++) {
            simulation.submit(i % SlotSimulation.DAEMONS, Rank.URGENT, 5_000);
            simulation.deliverAll();
        }
        simulation.advance(250 * SlotSimulation.NANOS_PER_MILLI);
        simulation.deliverAll();
        assertThat(simulation.runningOn(unusable.server())).isZero();
        assertThat(simulation.running).hasSize(TOTAL_SLOTS - SlotSimulation.SLOTS);
        simulation.listed.set(0, unusable);
        simulation.applyListedServers();
        simulation.advance(250 * SlotSimulation.NANOS_PER_MILLI);
        simulation.deliverAll();
        assertThat(simulation.running).hasSize(TOTAL_SLOTS);
    }

    // Guards against a request that runs on a server which its predicate excludes, as for suspects of the same crash,
    // and against such a request that blocks the requests queued behind it.
    @Example
    void requestThatAllowsNoServerDoesNotBlockOthers() {
        SlotSimulation simulation = warmedUpSimulation();
        LeasedSlotPool pool = (LeasedSlotPool) simulation.pools.get(0);
        RequestId suspect = new RequestId("suspect");
        long deadlineNanos = simulation.nowNanos + 1_000 * SlotSimulation.NANOS_PER_MILLI;
        List<SlotAction> actions = pool.submit(
                new SlotRequest(suspect, Rank.URGENT, deadlineNanos, Option.none(), server -> false),
                simulation.nowNanos);
        assertThat(actions).noneMatch(action -> action instanceof SlotAction.Dispatch);
        simulation.submit(0, Rank.STANDARD, 900);
        assertThat(simulation.running).hasSize(1);
    }

    // Guards against requests that stay queued until their deadline passes although no slot can become free before it,
    // and against refusals without a retry hint.
    @Example
    void unreachableDeadlineIsRefusedEarly() {
        SlotSimulation simulation = warmedUpSimulation();
        LeasedSlotPool pool = (LeasedSlotPool) simulation.pools.get(0);
        RefusalReason reason = null;
        long hintMillis = 0;
        for (int i = 0; i < 15; i++) {
            SlotRequest request = new SlotRequest(
                    new RequestId("q" + i),
                    Rank.BULK,
                    simulation.nowNanos + 40 * SlotSimulation.NANOS_PER_MILLI,
                    Option.none(),
                    server -> true);
            for (SlotAction action : pool.submit(request, simulation.nowNanos)) {
                if (action instanceof SlotAction.Refuse refuse) {
                    reason = refuse.reason();
                    hintMillis = refuse.retryAfterMillis();
                }
            }
        }
        assertThat(reason).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
        assertThat(hintMillis).isPositive();
    }

    // Guards against one workspace that fills the queues which all workspaces share.
    @Example
    void workspaceLimitIsEnforced() {
        SlotSimulation simulation = warmedUpSimulation();
        LeasedSlotPool pool = (LeasedSlotPool) simulation.pools.get(0);
        List<SlotAction> last = List.of();
        for (int i = 0; i < 3; i++) {
            last = pool.submit(
                    new SlotRequest(
                            new RequestId("w" + i),
                            Rank.STANDARD,
                            simulation.nowNanos + 9_000 * SlotSimulation.NANOS_PER_MILLI,
                            Option.of(new WorkspaceId("w")),
                            server -> true),
                    simulation.nowNanos);
        }
        assertThat(last).singleElement().isInstanceOfSatisfying(SlotAction.Refuse.class, refuse -> {
            assertThat(refuse.reason()).isEqualTo(RefusalReason.WORKSPACE_LIMIT);
        });
    }

    // Guards against a retry on the same server, a retry beyond the budget, and a slot that the failed attempt keeps.
    @Example
    void retryUsesAnotherServerWithinTheBudget() {
        SlotSimulation simulation = warmedUpSimulation();
        // With the four requests of the warm-up and the one below, daemon 0 has ten requests; 10 % of them is one
        // retry.
        for (int i = 0; i < 5; i++) {
            simulation.complete(simulation.submit(0, Rank.URGENT, 5_000));
        }
        RequestId id = simulation.submit(0, Rank.URGENT, 5_000);
        ServerId first = simulation.running.get(id).server();
        simulation.retry(id, RetryReason.SERVER_SHED);
        for (int i = 0; i < 4; i++) {
            simulation.deliverAll();
            simulation.advance(100 * SlotSimulation.NANOS_PER_MILLI);
        }
        assertThat(simulation.running.get(id).server()).isNotEqualTo(first);
        simulation.retry(id, RetryReason.SERVER_SHED);
        assertThat(simulation.refusals.get(id)).isEqualTo(RefusalReason.SERVERS_SHED);
        assertThat(simulation.running).isEmpty();
    }

    // Guards against more connections to a server than its limit, and against daemons without any server.
    @Property(seed = "4302", tries = 100)
    void subsetsRespectTheConnectionLimit(
            @ForAll @IntRange(min = 1, max = 60) int servers,
            @ForAll @IntRange(min = 1, max = 120) int daemons,
            @ForAll @IntRange(min = 3, max = 330) int connections) {
        ServiceLimits limits = new ServiceLimits(new ServiceId("s"), 50, 3, connections, 10);
        Set<ServerId> serverIds = new HashSet<>();
        for (int i = 0; i < servers; i++) {
            serverIds.add(new ServerId("s" + i));
        }
        Set<IncarnationId> daemonIds = new HashSet<>();
        for (int i = 0; i < daemons; i++) {
            daemonIds.add(new IncarnationId(i * 7_919L));
        }
        Map<IncarnationId, Set<ServerId>> assigned = ServerSubsets.assign(serverIds, daemonIds, limits);
        Map<ServerId, Integer> users = new HashMap<>();
        assigned.values().forEach(subset -> subset.forEach(server -> users.merge(server, 1, Integer::sum)));
        int daemonsPerServer = connections / 3;
        assertThat(users.values()).allMatch(count -> count <= daemonsPerServer);
        if (daemonsPerServer * servers >= daemons) {
            assertThat(assigned.values()).noneMatch(Set::isEmpty);
        }
    }

    // Guards against partial subsets at the current site size of seventeen daemons, where every daemon must use every
    // server.
    @Example
    void subsetIsEveryServerAtSeventeenDaemons() {
        Set<ServerId> servers = Set.of(new ServerId("a"), new ServerId("b"));
        Set<IncarnationId> daemons = new HashSet<>();
        for (int i = 0; i < 17; i++) {
            daemons.add(new IncarnationId(i));
        }
        ServiceLimits limits = new ServiceLimits(new ServiceId("s"), 50, 3, 330, 10);
        assertThat(ServerSubsets.assign(servers, daemons, limits).values()).allMatch(servers::equals);
    }

    // Guards against a lease in another availability zone while a slot in the zone of the daemon is free.
    @Example
    void serversOfTheSameZoneAreLeasedFirst() {
        SlotLedger ledger = new SlotLedger(SlotSimulation.limits(), SlotSimulation.ranks(), 0, 0);
        List<SlotServer> listed = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            listed.add(new SlotServer(new ServerId("s" + i), new ZoneId("z" + i % 3), 100));
        }
        ledger.onServers(listed, 0);
        IncarnationId daemon = new IncarnationId(5);
        ledger.onMembers(Map.of(daemon, new ZoneId("z2")), 0);
        List<RankDemand> demand = List.of(new RankDemand(Rank.URGENT, 4, 0, 4));
        List<LedgerAction> actions = ledger.onReport(
                daemon,
                new SlotReport(new ServiceId("s"), 0, List.of(), demand, 1, 0),
                LeasedSlotPool.REPORT_INTERVAL_NANOS);
        assertThat(actions).isNotEmpty();
        assertThat(ledger.grantedTo(daemon, new ServerId("s2"))).isEqualTo(SlotSimulation.SLOTS);
        assertThat(ledger.grantedTo(daemon, new ServerId("s5"))).isEqualTo(SlotSimulation.SLOTS);
    }
}
