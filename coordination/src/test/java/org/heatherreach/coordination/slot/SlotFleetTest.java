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

class SlotFleetTest {
    private static final int TOTAL_SLOTS = SlotFleet.SERVERS * SlotFleet.SLOTS;

    private static SlotFleet warmFleet() {
        SlotFleet fleet = new SlotFleet(false);
        for (int i = 0; i < 4; i++) {
            for (int daemon = 0; daemon < SlotFleet.DAEMONS; daemon++) {
                fleet.submit(daemon, Rank.URGENT, 500);
            }
            fleet.deliverAll();
            new ArrayList<>(fleet.running.keySet()).forEach(fleet::complete);
            fleet.advance(250 * SlotFleet.MILLI);
            fleet.deliverAll();
        }
        return fleet;
    }

    // Guards against a daemon that wakes from a pause, takes up slots from grants and recalls that waited while its
    // leases expired, and so uses and reports slots which the owner has leased to others since.
    @Example
    void messagesThatOutwaitedTheLeasesGiveNoSlots() {
        ServerId server = new ServerId("s0");
        long nowNanos = 1_000 * SlotFleet.MILLI;
        LeasedSlotPool pool = new LeasedSlotPool(
                SlotFleet.limits(), SlotFleet.ranks(), 0, new ZoneId("z0"), workspace -> 2, new Random(1), nowNanos);
        pool.onServers(List.of(new SlotServer(server, new ZoneId("z0"), 100)), SlotFleet.DAEMONS, nowNanos);
        List<SlotAction> actions = new ArrayList<>(pool.onOwner(SlotFleet.OWNER, nowNanos));
        actions.addAll(pool.submit(request("first", nowNanos), nowNanos));
        pool.onGrant(SlotFleet.OWNER, grant(server, 1, lastReport(actions).number(), 1), nowNanos);
        assertThat(pool.heldOf(server, nowNanos)).isEqualTo(1);
        nowNanos += SlotLedger.LEASE_NANOS + SlotFleet.MILLI;
        pool.onGrant(SlotFleet.OWNER, grant(server, 1, 0, 2), nowNanos);
        pool.onGrant(SlotFleet.OWNER, grant(server, 2, 0, 3), nowNanos);
        pool.onRecall(
                SlotFleet.OWNER,
                new SlotRecall(SlotFleet.limits().service(), 0, List.of(new SlotLease(server, 1)), 4),
                nowNanos);
        nowNanos += SlotFleet.MILLI;
        actions = new ArrayList<>(pool.submit(request("second", nowNanos), nowNanos));
        actions.addAll(pool.tick(nowNanos + 250 * SlotFleet.MILLI));
        nowNanos += 250 * SlotFleet.MILLI;
        SlotReport report = lastReport(actions);
        assertThat(report.holdings()).allMatch(holding -> holding.held() == 0);
        // The owner has forgotten the daemon in the meantime, so its sequence is behind.
        pool.onGrant(SlotFleet.OWNER, grant(server, 1, report.number(), 2), nowNanos);
        assertThat(pool.hasValidLeases(nowNanos)).isTrue();
        assertThat(pool.heldOf(server, nowNanos)).isZero();
    }

    // Guards against an owner that was paused, takes late reports of expired leases for slots in use, and then leases
    // these slots a second time because their daemon may be using them anyway.
    @Example
    void slotsInDoubtAreNotLeasedBesideValidLeases() {
        ServerId server = new ServerId("s0");
        IncarnationId first = new IncarnationId(1);
        IncarnationId second = new IncarnationId(2);
        long nowNanos = 1_000 * SlotFleet.MILLI;
        SlotLedger ledger = new SlotLedger(SlotFleet.limits(), SlotFleet.ranks(), 0, nowNanos);
        ledger.onServers(List.of(new SlotServer(server, new ZoneId("z0"), 100)), nowNanos);
        nowNanos += 300 * SlotFleet.MILLI;
        ledger.onReport(first, demand(List.of(), SlotFleet.SLOTS, 1), nowNanos);
        assertThat(ledger.grantedTo(first, server)).isEqualTo(SlotFleet.SLOTS);
        ledger.onReport(second, demand(List.of(new SlotHolding(server, 1, 1)), 0, 1), nowNanos);
        ledger.onReport(second, demand(List.of(), 1, 2), nowNanos);
        assertThat(ledger.grantedTo(first, server) + ledger.grantedTo(second, server))
                .isLessThanOrEqualTo(SlotFleet.SLOTS);
    }

    private static SlotReport demand(List<SlotHolding> holdings, int queued, long number) {
        List<RankDemand> demand = List.of(new RankDemand(Rank.URGENT, queued, 0, 10));
        return new SlotReport(SlotFleet.limits().service(), 0, holdings, demand, number, 0);
    }

    private static SlotRequest request(String id, long nowNanos) {
        long deadlineNanos = nowNanos + 1_000 * SlotFleet.MILLI;
        return new SlotRequest(new RequestId(id), Rank.URGENT, deadlineNanos, Option.none(), server -> true);
    }

    private static SlotGrant grant(ServerId server, int count, long reportNumber, long sequence) {
        return new SlotGrant(
                SlotFleet.limits().service(),
                0,
                List.of(new SlotLease(server, count)),
                (int) (SlotLedger.LEASE_NANOS / SlotFleet.MILLI),
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

    /** Completed requests by rank while every daemon has work of every rank; bulk work comes ten times as often. */
    private static int[] serveSaturated(boolean naive, long seed) {
        Random random = new Random(seed);
        SlotFleet fleet = new SlotFleet(naive);
        Map<RequestId, Rank> ranks = new HashMap<>();
        int[] served = new int[Rank.values().length];
        for (int step = 0; step < 4_000; step++) {
            Rank rank = random.nextInt(12) < 10 ? Rank.BULK : random.nextBoolean() ? Rank.URGENT : Rank.STANDARD;
            for (int i = 0; i < 4; i++) {
                ranks.put(fleet.submit(random.nextInt(SlotFleet.DAEMONS), rank, 1_500), rank);
            }
            fleet.deliverAll();
            List<RequestId> ids = new ArrayList<>(fleet.running.keySet());
            ids.sort(null);
            for (RequestId id : ids) {
                if (random.nextInt(10) == 0) {
                    served[ranks.get(id).ordinal()]++;
                    fleet.complete(id);
                }
            }
            fleet.deliverAll();
            fleet.advance(4 * SlotFleet.MILLI);
        }
        return served;
    }

    // Guards against a flood of bulk work that takes the guaranteed share of another rank; FIFO queues do just that.
    @Property(seed = "4301", tries = 5)
    void everyRankGetsItsGuarantee(@ForAll long seed) {
        int[] product = serveSaturated(false, seed);
        int[] naive = serveSaturated(true, seed);
        int productSum = product[0] + product[1] + product[2];
        int naiveSum = naive[0] + naive[1] + naive[2];
        for (Rank rank : Rank.values()) {
            int percent = SlotFleet.ranks().get(rank).guaranteePercent();
            assertThat(100.0 * product[rank.ordinal()] / productSum)
                    .as(rank.label())
                    .isGreaterThanOrEqualTo(percent);
        }
        assertThat(100.0 * naive[0] / naiveSum)
                .isLessThan(SlotFleet.ranks().get(Rank.URGENT).guaranteePercent());
    }

    // Guards against a daemon that stops serving when its owner is gone, or that then takes more than its share.
    @Example
    void localShareIsUsedWithoutAnOwner() {
        SlotFleet fleet = warmFleet();
        for (int i = 0; i < 30; i++) {
            fleet.messages.clear();
            fleet.advance(100 * SlotFleet.MILLI);
        }
        for (int daemon = 0; daemon < SlotFleet.DAEMONS; daemon++) {
            fleet.submit(daemon, Rank.URGENT, 500);
            fleet.submit(daemon, Rank.URGENT, 500);
        }
        int share = Math.max(1, TOTAL_SLOTS / SlotFleet.DAEMONS);
        assertThat(fleet.running).hasSize(SlotFleet.DAEMONS * share);
        assertThat(fleet.pools).allMatch(pool -> ((LeasedSlotPool) pool).isLocal());
    }

    // Guards against a new owner that leases slots in use elsewhere because it has not yet seen the reports.
    @Example
    void newOwnerRebuildsFromReports() {
        SlotFleet fleet = warmFleet();
        for (int daemon = 0; daemon < SlotFleet.DAEMONS; daemon++) {
            fleet.submit(daemon, Rank.URGENT, 5_000);
        }
        fleet.deliverAll();
        int runningBefore = fleet.running.size();
        fleet.newLedger();
        fleet.submit(0, Rank.URGENT, 5_000);
        fleet.submit(0, Rank.URGENT, 5_000);
        fleet.submit(0, Rank.URGENT, 5_000);
        for (int i = 0; i < 6; i++) {
            fleet.deliverAll();
            for (SlotServer server : fleet.listed) {
                assertThat(fleet.runningOn(server.server())).isLessThanOrEqualTo(SlotFleet.SLOTS);
                assertThat(fleet.leasesOf(server.server())).isLessThanOrEqualTo(SlotFleet.SLOTS);
            }
            fleet.advance(100 * SlotFleet.MILLI);
        }
        assertThat(fleet.running.size()).isGreaterThan(runningBefore).isLessThanOrEqualTo(TOTAL_SLOTS);
    }

    // Guards against two owners at once doing worse than each handing out its own slots.
    @Example
    void grantsOfAnotherOwnerAreIgnored() {
        SlotFleet fleet = warmFleet();
        LeasedSlotPool pool = (LeasedSlotPool) fleet.pools.get(0);
        ServerId server = fleet.listed.get(0).server();
        int before = pool.heldOf(server, fleet.nowNanos);
        SlotGrant grant = new SlotGrant(
                new ServiceId("s"),
                0,
                List.of(new SlotLease(server, before + 1)),
                2_000,
                1,
                1_000,
                List.of(9, 9, 9),
                9);
        pool.onGrant(new IncarnationId(77), grant, fleet.nowNanos);
        assertThat(pool.heldOf(server, fleet.nowNanos)).isEqualTo(before);
    }

    // Guards against new work on a server that is leaving or ejected, and against slots lost when it comes back.
    @Example
    void serverOutOfUseGetsNoNewWork() {
        SlotFleet fleet = warmFleet();
        SlotServer gone = fleet.listed.get(0);
        fleet.listed.set(0, new SlotServer(gone.server(), gone.zone(), 0));
        fleet.updateServers();
        for (int i = 0; i < TOTAL_SLOTS; i++) {
            fleet.submit(i % SlotFleet.DAEMONS, Rank.URGENT, 5_000);
            fleet.deliverAll();
        }
        fleet.advance(250 * SlotFleet.MILLI);
        fleet.deliverAll();
        assertThat(fleet.runningOn(gone.server())).isZero();
        assertThat(fleet.running).hasSize(TOTAL_SLOTS - SlotFleet.SLOTS);
        fleet.listed.set(0, gone);
        fleet.updateServers();
        fleet.advance(250 * SlotFleet.MILLI);
        fleet.deliverAll();
        assertThat(fleet.running).hasSize(TOTAL_SLOTS);
    }

    // Guards against two suspects of one crash on one server, and against a suspect that blocks the queue behind it.
    @Example
    void forbiddenServerIsSkipped() {
        SlotFleet fleet = warmFleet();
        LeasedSlotPool pool = (LeasedSlotPool) fleet.pools.get(0);
        RequestId suspect = new RequestId("suspect");
        long deadlineNanos = fleet.nowNanos + 1_000 * SlotFleet.MILLI;
        List<SlotAction> actions = pool.submit(
                new SlotRequest(suspect, Rank.URGENT, deadlineNanos, Option.none(), server -> false), fleet.nowNanos);
        assertThat(actions).noneMatch(action -> action instanceof SlotAction.Dispatch);
        fleet.submit(0, Rank.STANDARD, 900);
        assertThat(fleet.running).hasSize(1);
    }

    // Guards against early refusals that come too late, without a hint, or for requests that could be served.
    @Example
    void unreachableDeadlineIsRefusedEarly() {
        SlotFleet fleet = warmFleet();
        LeasedSlotPool pool = (LeasedSlotPool) fleet.pools.get(0);
        RefusalReason reason = null;
        long hintMillis = 0;
        for (int i = 0; i < 15; i++) {
            SlotRequest request = new SlotRequest(
                    new RequestId("q" + i),
                    Rank.BULK,
                    fleet.nowNanos + 40 * SlotFleet.MILLI,
                    Option.none(),
                    server -> true);
            for (SlotAction action : pool.submit(request, fleet.nowNanos)) {
                if (action instanceof SlotAction.Refuse refuse) {
                    reason = refuse.reason();
                    hintMillis = refuse.retryAfterMillis();
                }
            }
        }
        assertThat(reason).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
        assertThat(hintMillis).isPositive();
    }

    // Guards against one workspace that fills the queues of all others.
    @Example
    void workspaceIsHeldToItsLimit() {
        SlotFleet fleet = warmFleet();
        LeasedSlotPool pool = (LeasedSlotPool) fleet.pools.get(0);
        List<SlotAction> last = List.of();
        for (int i = 0; i < 3; i++) {
            last = pool.submit(
                    new SlotRequest(
                            new RequestId("w" + i),
                            Rank.STANDARD,
                            fleet.nowNanos + 9_000 * SlotFleet.MILLI,
                            Option.of(new WorkspaceId("w")),
                            server -> true),
                    fleet.nowNanos);
        }
        assertThat(last).singleElement().isInstanceOfSatisfying(SlotAction.Refuse.class, refuse -> {
            assertThat(refuse.reason()).isEqualTo(RefusalReason.WORKSPACE_LIMIT);
        });
    }

    // Guards against a retry on the same server, a retry beyond the budget, and a slot kept by the failed attempt.
    @Example
    void retryUsesAnotherServerWithinTheBudget() {
        SlotFleet fleet = warmFleet();
        // With the four of the warm fleet and the one below these are ten requests, whose 10 % is one retry.
        for (int i = 0; i < 5; i++) {
            fleet.complete(fleet.submit(0, Rank.URGENT, 5_000));
        }
        RequestId id = fleet.submit(0, Rank.URGENT, 5_000);
        ServerId first = fleet.running.get(id).server();
        fleet.retry(id, RetryReason.SERVER_SHED);
        for (int i = 0; i < 4; i++) {
            fleet.deliverAll();
            fleet.advance(100 * SlotFleet.MILLI);
        }
        assertThat(fleet.running.get(id).server()).isNotEqualTo(first);
        fleet.retry(id, RetryReason.SERVER_SHED);
        assertThat(fleet.refusals.get(id)).isEqualTo(RefusalReason.SERVERS_SHED);
        assertThat(fleet.running).isEmpty();
    }

    // Guards against more connections to a server than it accepts, and against daemons without any server.
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

    // Guards against subsets at the sites of today, where every daemon must use every server.
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

    // Guards against a lease in another zone while one of the own zone is free.
    @Example
    void serversOfTheOwnZoneComeFirst() {
        SlotLedger ledger = new SlotLedger(SlotFleet.limits(), SlotFleet.ranks(), 0, 0);
        List<SlotServer> listed = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            listed.add(new SlotServer(new ServerId("s" + i), new ZoneId("z" + i % 3), 100));
        }
        ledger.onServers(listed, 0);
        IncarnationId daemon = new IncarnationId(5);
        ledger.onMembers(Map.of(daemon, new ZoneId("z2")), 0);
        List<RankDemand> demand = List.of(new RankDemand(Rank.URGENT, 4, 0, 4));
        List<LedgerAction> actions = ledger.onReport(
                daemon, new SlotReport(new ServiceId("s"), 0, List.of(), demand, 1, 0), LeasedSlotPool.REPORT_NANOS);
        assertThat(actions).isNotEmpty();
        assertThat(ledger.grantedTo(daemon, new ServerId("s2"))).isEqualTo(SlotFleet.SLOTS);
        assertThat(ledger.grantedTo(daemon, new ServerId("s5"))).isEqualTo(SlotFleet.SLOTS);
    }
}
