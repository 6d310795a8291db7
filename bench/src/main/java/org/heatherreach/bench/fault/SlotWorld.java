package org.heatherreach.bench.fault;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Option;
import org.heatherreach.coordination.health.DaemonHealth;
import org.heatherreach.coordination.health.DetectionResult;
import org.heatherreach.coordination.health.HealthAction;
import org.heatherreach.coordination.health.NaiveHealth;
import org.heatherreach.coordination.health.OutlierDetector;
import org.heatherreach.coordination.health.PooledHealth;
import org.heatherreach.coordination.health.ServerFailure;
import org.heatherreach.coordination.health.VerdictList;
import org.heatherreach.coordination.slot.LeasedSlotPool;
import org.heatherreach.coordination.slot.LedgerAction;
import org.heatherreach.coordination.slot.NaiveSlotPool;
import org.heatherreach.coordination.slot.SlotAction;
import org.heatherreach.coordination.slot.SlotLedger;
import org.heatherreach.coordination.slot.SlotPool;
import org.heatherreach.coordination.slot.SlotRequest;
import org.heatherreach.coordination.slot.SlotServer;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RetryReason;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Daemons that lease the slots of one service part from its owner and eject servers by the owner's verdicts. One server
 * is gray. Checks that no lease is used after it expired, that among daemons with the same settled owner no slot is
 * leased or used twice, that each request gets one decision, and that each daemon keeps its floor. Confined to one
 * thread.
 */
final class SlotWorld extends FaultWorld {
    private static final int DAEMONS = 6;
    private static final int SERVERS = 6;
    private static final int SLOTS = 2;
    /** Of six servers five have to stay, so that one may be ejected. */
    private static final int FLOOR_PERCENT = 70;

    private static final int GRAY_SERVER = 1;
    private static final double GRAY_ERRORS = 0.6;
    /** A silent daemon is no longer a member after a ping, its repeat and a suspicion. */
    private static final long DETECTION_MILLIS = 5_000;

    /** Leases of a former owner last 2 s, and what runs on them then ends within half a second. */
    private static final long SETTLED_MILLIS = 2_500;

    private static final long WARM_UP_MILLIS = 1_000;
    private static final long SCENARIO_MILLIS = 12_000;
    private static final long LAST_MILLIS = 2_000;
    private static final long STOPPED_MILLIS = 2_500;
    private static final int ARRIVAL_MILLIS = 10;
    private static final int FLOOD_ARRIVAL_MILLIS = 3;
    private static final int SHIFT_MILLIS = 1_500;
    private static final int RUN_MILLIS = 20;
    private static final int RUN_JITTER_MILLIS = 30;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final int STALL_MILLIS = 1_000;
    private static final int CRASH_GAP_MILLIS = 400;
    private static final int RESTART_MILLIS = 1_500;
    private static final ServiceId SERVICE = new ServiceId("benchdesk");
    private static final ServiceLimits LIMITS = new ServiceLimits(SERVICE, FLOOR_PERCENT, SLOTS, 300, 10);

    private final boolean checksSlots;
    private final boolean checksFloor;
    private final List<Node> nodes = new ArrayList<>();
    private final List<ServerId> servers = new ArrayList<>();
    private final Map<RequestId, Integer> decisions = new HashMap<>();
    private final Map<RequestId, Integer> submitted = new LinkedHashMap<>();
    private final Map<RequestId, Integer> processes = new HashMap<>();
    private final long[] serverDownNanos = new long[SERVERS];
    private int next;
    private Rank flooded;
    private boolean crashing;
    private boolean listLags;
    private boolean stopped;

    SlotWorld(boolean naive, long seed, Promise promise) {
        super(naive, seed, DAEMONS);
        checksSlots = !naive || promise == Promise.SLOTS;
        checksFloor = !naive || promise == Promise.FLOOR;
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerId("server-" + i));
        }
        for (int i = 0; i < DAEMONS; i++) {
            nodes.add(new Node(i));
        }
        for (int i = 0; i < DAEMONS; i++) {
            start(i);
        }
    }

    @Override
    void run() {
        generate();
        advance(WARM_UP_MILLIS);
        arm();
        advance(SCENARIO_MILLIS);
        disarm();
        repairAll();
        crashing = false;
        flooded = null;
        updateVmList(0);
        advance(LAST_MILLIS);
        stopped = true;
        advance(STOPPED_MILLIS);
        for (Map.Entry<RequestId, Integer> entry : submitted.entrySet()) {
            boolean alive =
                    isUp(entry.getValue()) && nodes.get(entry.getValue()).process == processes.get(entry.getKey());
            if (checksSlots && alive && !decisions.containsKey(entry.getKey())) {
                violate(entry.getKey() + " at daemon " + entry.getValue() + " had no decision");
                return;
            }
        }
    }

    /** Sends requests; every 1.5 s most of them go to another daemon, so that slots have to move. */
    private void generate() {
        if (stopped) {
            return;
        }
        int hot = (int) (nowNanos / MILLIS / SHIFT_MILLIS % DAEMONS);
        submit(random.nextInt(4) > 0 ? hot : random.nextInt(DAEMONS), Rank.values()[random.nextInt(3)]);
        after(1 + random.nextInt(2 * ARRIVAL_MILLIS), this::generate);
    }

    private void submit(int daemon, Rank rank) {
        RequestId id = new RequestId("request-" + next++);
        long deadlineNanos = nowNanos + (500 + random.nextInt(1_000)) * MILLIS;
        arrive(daemon, 0, null, () -> {
            Node node = nodes.get(daemon);
            submitted.put(id, daemon);
            processes.put(id, node.process);
            node.take(node.pool.submit(
                    new SlotRequest(id, rank, deadlineNanos, Option.none(), server -> true), nowNanos));
        });
    }

    @Override
    List<Integer> victims() {
        int owner = nodes.stream()
                .filter(node -> isRunning(node.index) && node.owner >= 0)
                .mapToInt(node -> node.owner)
                .findFirst()
                .orElse(0);
        return List.of(owner, (owner + 1) % DAEMONS, (owner + 4) % DAEMONS);
    }

    @Override
    FaultNode node(int index) {
        return nodes.get(index);
    }

    @Override
    void lapse(int victim) {
        pauseFor(victim, SlotLedger.LEASE_DURATION_NANOS / MILLIS + random.nextInt(400));
    }

    /** One server is leaving, and only half of the daemons learn it in time. */
    @Override
    void delayVmList(int victim) {
        listLags = true;
        nodes.stream().filter(node -> isRunning(node.index)).forEach(Node::updateServers);
    }

    @Override
    void updateVmList(int victim) {
        listLags = false;
        nodes.stream().filter(node -> isRunning(node.index)).forEach(Node::updateServers);
    }

    @Override
    void flood(Rank rank, boolean begins) {
        flooded = begins ? rank : null;
        if (begins) {
            floodOnce(rank);
        }
    }

    private void floodOnce(Rank rank) {
        if (flooded == rank && !stopped) {
            submit(random.nextInt(DAEMONS), rank);
            after(FLOOD_ARRIVAL_MILLIS, () -> floodOnce(rank));
        }
    }

    @Override
    void crashServers(boolean begins) {
        crashing = begins;
        if (begins) {
            crashOnce();
        }
    }

    /** The crashing request is sent again and again, each time to another server. */
    private void crashOnce() {
        if (!crashing) {
            return;
        }
        int server = random.nextInt(SERVERS);
        serverDownNanos[server] = nowNanos + RESTART_MILLIS * MILLIS;
        for (Node node : nodes) {
            List.copyOf(node.running.values()).stream()
                    .filter(run -> run.server == server)
                    .forEach(run -> later(
                            node.index,
                            1,
                            null,
                            () -> node.finish(run, ServerFailure.TRUNCATED, RetryReason.CONNECTION_LOST)));
        }
        after(CRASH_GAP_MILLIS, this::crashOnce);
    }

    private static Map<Rank, RankLimits> ranks() {
        Map<Rank, RankLimits> ranks = new EnumMap<>(Rank.class);
        ranks.put(Rank.URGENT, new RankLimits(Rank.URGENT, 1, 40, 20, 2_000));
        ranks.put(Rank.STANDARD, new RankLimits(Rank.STANDARD, 1, 25, 20, 2_000));
        ranks.put(Rank.BULK, new RankLimits(Rank.BULK, 1, 15, 20, 2_000));
        return ranks;
    }

    /** Where daemons agree on an owner and former leases have ended, no slot may be leased or used twice. */
    private void checkSlots() {
        if (!checksSlots) {
            return;
        }
        int[][] leased = new int[DAEMONS][SERVERS];
        int[][] used = new int[DAEMONS][SERVERS];
        boolean[] settled = new boolean[DAEMONS];
        Arrays.fill(settled, true);
        for (Node node : nodes) {
            if (!isUp(node.index) || node.owner < 0) {
                continue;
            }
            int owner = naive ? 0 : node.owner;
            settled[owner] &= naive || nowNanos - node.ownerSinceNanos >= SETTLED_MILLIS * MILLIS;
            if (node.pool instanceof LeasedSlotPool pool) {
                for (int server = 0; server < SERVERS; server++) {
                    leased[owner][server] += pool.leasedSlotsOf(servers.get(server), nowNanos);
                }
                if (!pool.hasValidLeases(nowNanos)) {
                    node.running.values().forEach(run -> run.leased = false);
                }
            }
            for (Run run : node.running.values()) {
                used[owner][run.server] += run.leased ? 1 : 0;
            }
        }
        for (int owner = 0; owner < DAEMONS; owner++) {
            for (int server = 0; settled[owner] && server < SERVERS; server++) {
                if (Math.max(leased[owner][server], used[owner][server]) > SLOTS && violations.size() < 5) {
                    violate("server " + server + " has " + leased[owner][server] + " slots leased and "
                            + used[owner][server] + " in use by daemons of owner " + owner);
                }
            }
        }
    }

    /** A request that was dispatched. */
    private static final class Run {
        private final RequestId id;
        private final int server;
        private final long exchange;
        private boolean leased;

        Run(RequestId id, int server, long exchange, boolean leased) {
            this.id = id;
            this.server = server;
            this.exchange = exchange;
            this.leased = leased;
        }
    }

    /** One daemon. */
    private final class Node implements FaultNode {
        private final int index;
        private final ZoneId zone;
        private final Map<RequestId, Run> running = new LinkedHashMap<>();
        private final long[] heardNanos = new long[DAEMONS];
        private Set<ServerId> unavailable = Set.of();
        private Set<Integer> members = new HashSet<>();
        private IncarnationId incarnation = new IncarnationId(1);
        private SlotPool pool;
        private DaemonHealth health;
        private SlotLedger ledger;
        private OutlierDetector judge;
        private int process;
        private int owner = -1;
        private long ownerSinceNanos;
        private int ticks;

        Node(int index) {
            this.index = index;
            zone = new ZoneId("z" + index % 3);
        }

        @Override
        public void start() {
            process++;
            incarnation = new IncarnationId(random.nextLong() | 1);
            Random own = new Random(incarnation.value());
            pool = naive
                    ? new NaiveSlotPool(LIMITS, ranks(), own, nowNanos)
                    : new LeasedSlotPool(LIMITS, ranks(), 0, zone, workspace -> 0, own, nowNanos);
            health = naive
                    ? new NaiveHealth(5 * (RUN_MILLIS + RUN_JITTER_MILLIS) * MILLIS)
                    : new PooledHealth(SERVICE, 0, zone, LIMITS);
            ledger = null;
            judge = null;
            running.clear();
            owner = -1;
            members = new HashSet<>();
            Arrays.fill(heardNanos, nowNanos);
            updateServers();
        }

        @Override
        public void tick() {
            for (int peer = 0; peer < DAEMONS; peer++) {
                boolean answers = isRunning(peer) && !isCut(index, peer) && !isCut(peer, index);
                if (peer == index || answers) {
                    heardNanos[peer] = nowNanos;
                }
            }
            updateOwner();
            report(health.tick(nowNanos));
            take(pool.tick(nowNanos));
            if (ledger != null) {
                send(ledger.tick(nowNanos));
            }
            if (++ticks % 3 == 0) {
                shareEvidence();
            }
            checkSlots();
            checkFloor();
        }

        private void updateOwner() {
            Set<Integer> live = new HashSet<>();
            for (int peer = 0; peer < DAEMONS; peer++) {
                if (nowNanos - heardNanos[peer] < DETECTION_MILLIS * MILLIS) {
                    live.add(peer);
                }
            }
            int newOwner = live.stream().mapToInt(Integer::intValue).min().orElse(index);
            if (newOwner != owner) {
                owner = newOwner;
                ownerSinceNanos = nowNanos;
                ledger = null;
                judge = null;
            }
            if (owner == index && ledger == null) {
                ledger = new SlotLedger(LIMITS, ranks(), 0, nowNanos);
                judge = new OutlierDetector(SERVICE, 0);
                judge.updateServers(servers, nowNanos);
                members = new HashSet<>();
            }
            if (!live.equals(members)) {
                members = live;
                if (ledger != null) {
                    Map<IncarnationId, ZoneId> zones = new HashMap<>();
                    live.forEach(peer -> zones.put(nodes.get(peer).incarnation, nodes.get(peer).zone));
                    send(ledger.onMembers(zones, nowNanos));
                    send(ledger.onServers(listed(), nowNanos));
                }
                take(pool.onServers(listed(), members.size(), nowNanos));
            }
            take(pool.onOwner(nodes.get(owner).incarnation, nowNanos));
        }

        private List<SlotServer> listed() {
            List<SlotServer> listed = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                int share = health.sharePercent(servers.get(i), nowNanos);
                listed.add(new SlotServer(servers.get(i), new ZoneId("z" + i % 3), share));
            }
            return listed;
        }

        private void updateServers() {
            unavailable = listLags && index % 2 == 0 ? Set.of(servers.get(SERVERS - 1)) : Set.of();
            health.updateServers(servers, unavailable, nowNanos);
            changeShares();
        }

        private void changeShares() {
            if (ledger != null) {
                send(ledger.onServers(listed(), nowNanos));
            }
            take(pool.onServers(listed(), Math.max(1, members.size()), nowNanos));
            checkFloor();
        }

        private void report(List<HealthAction> actions) {
            boolean changed = false;
            for (HealthAction action : actions) {
                if (action instanceof HealthAction.ChangeShare change) {
                    changed = true;
                    if (change.afterPercent() == 0) {
                        reach(Step.EJECTED);
                    }
                }
            }
            if (changed && isRunning(index)) {
                changeShares();
            }
        }

        /** Each 300 ms, which is the next tick after the 250 ms of the daemons. */
        private void shareEvidence() {
            if (naive) {
                // The naive version exchanges nothing; its faults begin when the product would.
                List.of(Step.REPORTED, Step.GRANTED, Step.RECALLED, Step.EVIDENCE_SENT, Step.VERDICT_SENT)
                        .forEach(SlotWorld.this::reach);
                return;
            }
            int to = owner;
            IncarnationId own = incarnation;
            health.collectReport(nowNanos)
                    .ifPresent(evidence -> transmit(to, Step.EVIDENCE_SENT, () -> {
                        if (nodes.get(to).judge != null) {
                            nodes.get(to).judge.addReport(own, evidence, nowNanos);
                        }
                    }));
            if (judge == null) {
                return;
            }
            DetectionResult result = judge.tick(nowNanos);
            for (int peer : members) {
                Node receiver = nodes.get(peer);
                if (result.hasMessageFor(receiver.incarnation)) {
                    boolean outlier = result.outliers().contains(receiver.incarnation);
                    VerdictList list = new VerdictList(SERVICE, 0, result.verdicts(), outlier);
                    transmit(
                            peer,
                            result.verdicts().isEmpty() ? null : Step.VERDICT_SENT,
                            () -> receiver.report(receiver.health.apply(own, list, nowNanos)));
                }
            }
        }

        private void transmit(int to, Step step, Runnable action) {
            if (to == index) {
                later(index, 0, step, action);
            } else if (isUp(to)) {
                SlotWorld.this.send(index, to, true, step, action);
            }
        }

        private void send(List<LedgerAction> actions) {
            IncarnationId own = incarnation;
            for (LedgerAction action : actions) {
                for (Node to : nodes) {
                    if (!to.incarnation.equals(action.daemon())) {
                        continue;
                    }
                    if (action instanceof LedgerAction.SendGrant grant) {
                        transmit(to.index, Step.GRANTED, () -> to.take(to.pool.onGrant(own, grant.grant(), nowNanos)));
                    } else if (action instanceof LedgerAction.SendRecall recall) {
                        transmit(
                                to.index,
                                Step.RECALLED,
                                () -> to.take(to.pool.onRecall(own, recall.recall(), nowNanos)));
                    }
                }
            }
        }

        private void take(List<SlotAction> actions) {
            IncarnationId own = incarnation;
            for (SlotAction action : actions) {
                if (action instanceof SlotAction.SendReport send) {
                    Node to = nodes.stream()
                            .filter(node -> node.incarnation.equals(send.owner()))
                            .findFirst()
                            .orElse(null);
                    if (to != null) {
                        transmit(to.index, Step.REPORTED, () -> {
                            if (to.ledger != null) {
                                to.send(to.ledger.onReport(own, send.report(), nowNanos));
                            }
                        });
                    }
                } else if (action instanceof SlotAction.Refuse refuse) {
                    decide(refuse.request(), false);
                } else if (action instanceof SlotAction.Dispatch dispatch) {
                    decide(dispatch.request(), true);
                    dispatch(dispatch.request(), servers.indexOf(dispatch.server()));
                }
            }
            if (actions.stream().anyMatch(SlotAction.Dispatch.class::isInstance)) {
                checkSlots();
            }
        }

        /** A request that runs may still be refused after a retry, but not the reverse. */
        private void decide(RequestId id, boolean dispatched) {
            if (checksSlots && running.containsKey(id)) {
                violate(id + " was decided while it ran");
            }
            if (decisions.merge(id, dispatched ? 1 : 1_000, Integer::sum) > 1_000 && dispatched && checksSlots) {
                violate(id + " was dispatched after it was refused");
            }
        }

        private void dispatch(RequestId id, int server) {
            boolean leased = true;
            if (pool instanceof LeasedSlotPool leasing) {
                leased = !leasing.usesLocalShare();
                if (leased && !leasing.hasValidLeases(nowNanos)) {
                    violate(id + " was dispatched on an expired lease");
                }
            }
            Run run = new Run(id, server, health.begin(servers.get(server), nowNanos), leased);
            running.put(id, run);
            later(index, 0, Step.SLOT_USED, () -> exchange(run));
        }

        private void exchange(Run run) {
            boolean unreachable = isCut(index, OUTSIDE) || isCut(OUTSIDE, index);
            if (unreachable || serverDownNanos[run.server] > nowNanos) {
                int millis = unreachable ? CONNECT_TIMEOUT_MILLIS : 1;
                end(run, millis, ServerFailure.CONNECT, RetryReason.CONNECT_FAILED);
            } else if (isLost()) {
                end(run, STALL_MILLIS, ServerFailure.STALLED, null);
            } else {
                boolean error = run.server == GRAY_SERVER && random.nextDouble() < GRAY_ERRORS;
                int millis = RUN_MILLIS + random.nextInt(RUN_JITTER_MILLIS) + drawDelayMillis();
                end(run, Math.min(millis, STALL_MILLIS), error ? ServerFailure.ERROR : null, null);
            }
        }

        private void end(Run run, long millis, ServerFailure kind, RetryReason retry) {
            later(index, millis, null, () -> finish(run, kind, retry));
        }

        /** Ends a run unless a crash has ended it already. */
        private void finish(Run run, ServerFailure kind, RetryReason retry) {
            if (!running.remove(run.id, run)) {
                return;
            }
            report(kind == null ? health.complete(run.exchange, nowNanos) : health.fail(run.exchange, kind, nowNanos));
            take(retry == null ? pool.complete(run.id, nowNanos) : pool.retry(run.id, retry, nowNanos));
        }

        private void checkFloor() {
            if (!checksFloor) {
                return;
            }
            int restricted = 0;
            for (ServerId server : servers) {
                restricted += !unavailable.contains(server) && health.sharePercent(server, nowNanos) < 100 ? 1 : 0;
            }
            int allowed = Math.max(0, SERVERS - LIMITS.floorOf(SERVERS) - unavailable.size());
            if (restricted > allowed && violations.size() < 5) {
                violate("daemon " + index + " has " + restricted + " servers ejected, allowed are " + allowed);
            }
        }
    }
}
