package org.heatherreach.bench.slot;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import io.vavr.control.Option;
import org.heatherreach.coordination.slot.LeasedSlotPool;
import org.heatherreach.coordination.slot.LedgerAction;
import org.heatherreach.coordination.slot.NaiveSlotPool;
import org.heatherreach.coordination.slot.SlotAction;
import org.heatherreach.coordination.slot.SlotLedger;
import org.heatherreach.coordination.slot.SlotPool;
import org.heatherreach.coordination.slot.SlotRequest;
import org.heatherreach.coordination.slot.SlotServer;
import org.heatherreach.protocol.peer.SlotCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RetryReason;
import org.heatherreach.state.rank.Rank;

/**
 * Runs the decision objects of all daemons for one service under a virtual clock, with links that delay by zone, servers
 * with slots and callers. Arrivals and service times depend only on the seed, so that two pools see the same requests.
 * Confined to one thread.
 */
final class FleetTrial {
    static final long WARM_UP_NANOS = 5_000_000_000L;
    static final long WINDOW_NANOS = 30_000_000_000L;

    /** Requests that start late in the window are followed for this long after it. */
    private static final long DRAIN_NANOS = 5_000_000_000L;

    private static final long OUTAGE_START_NANOS = 10_000_000_000L;
    private static final long OUTAGE_END_NANOS = 13_000_000_000L;
    private static final long BURST_NANOS = 2_000_000_000L;

    /** Requests that a server queues beyond its slots, relative to its slots, before it sheds load. */
    private static final int SERVER_QUEUE_FACTOR = 8;

    /** When a caller that got no hint tries again. */
    private static final long UNHINTED_RETRY_NANOS = 50_000_000L;

    /** Each frame follows its length. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    private static final Rank[] RANKS = Rank.values();

    private final Site site;
    private final Workload workload;
    private final boolean naive;
    private final TrialResult result = new TrialResult();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SlotPool> pools = new ArrayList<>();
    private final List<IncarnationId> ids = new ArrayList<>();
    private final Map<IncarnationId, Integer> indexes = new HashMap<>();
    private final long[] tickNanos = new long[Site.DAEMONS];
    private final Map<ServerId, Backend> backends = new HashMap<>();
    private final Map<RequestId, Attempt> attempts = new HashMap<>();
    private final SplittableRandom[] arrivals = new SplittableRandom[RANKS.length];
    private final SplittableRandom callers;
    private SlotLedger ledger;
    private long nowNanos;
    private long nextEvent;
    private long nextRequest;

    private record Event(long timeNanos, long order, Runnable body) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(timeNanos, other.timeNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** One caller's request over all its attempts. */
    private record Call(Rank rank, int daemon, long startNanos, long serviceNanos, int attempt) {}

    private static final class Attempt {
        final Call call;
        final RequestId id;
        final long startNanos;
        Backend backend;
        boolean running;
        long runStartNanos;

        Attempt(Call call, RequestId id, long startNanos) {
            this.call = call;
            this.id = id;
            this.startNanos = startNanos;
        }
    }

    private static final class Backend {
        final int zone;
        final Deque<Attempt> queue = new ArrayDeque<>();
        int running;

        Backend(int zone) {
            this.zone = zone;
        }
    }

    FleetTrial(Site site, Workload workload, boolean naive, long seed) {
        this.site = site;
        this.workload = workload;
        this.naive = naive;
        SplittableRandom root = new SplittableRandom(seed);
        for (int i = 0; i < RANKS.length; i++) {
            arrivals[i] = root.split();
        }
        callers = root.split();
        Map<IncarnationId, ZoneId> members = new HashMap<>();
        for (int i = 0; i < Site.DAEMONS; i++) {
            IncarnationId id = new IncarnationId(1_000 + i);
            ids.add(id);
            indexes.put(id, i);
            members.put(id, zone(i));
            pools.add(
                    naive
                            ? new NaiveSlotPool(site.limits(), Site.rankLimits(), root.split(), 0)
                            : new LeasedSlotPool(
                                    site.limits(), Site.rankLimits(), 0, zone(i), workspace -> 0, root.split(), 0));
        }
        for (int i = 0; i < site.servers(); i++) {
            backends.put(server(i), new Backend(i % Site.ZONES));
        }
        ledger = new SlotLedger(site.limits(), Site.rankLimits(), 0, 0);
        take(ledger.onMembers(members, 0));
        setServers(site.servers());
        for (int i = 0; i < Site.DAEMONS; i++) {
            take(i, pools.get(i).onOwner(ids.get(0), 0));
            tickNanos[i] = Long.MAX_VALUE;
            scheduleTick(i);
        }
        scheduleLedgerTick();
    }

    private static ZoneId zone(int index) {
        return new ZoneId("z" + index % Site.ZONES);
    }

    private static ServerId server(int index) {
        return new ServerId("s" + index);
    }

    private void setServers(int inUse) {
        List<SlotServer> listed = new ArrayList<>();
        for (int i = 0; i < site.servers(); i++) {
            listed.add(new SlotServer(server(i), zone(i), i < inUse ? 100 : 0));
        }
        take(ledger.onServers(listed, nowNanos));
        for (int i = 0; i < Site.DAEMONS; i++) {
            take(i, pools.get(i).onServers(listed, Site.DAEMONS, nowNanos));
        }
    }

    TrialResult run() {
        for (Rank rank : RANKS) {
            scheduleArrival(rank, Workload.baseShare(rank) * workload.baseFactor(), arrivals[rank.ordinal()].split());
        }
        if (workload.floodRank() != null) {
            SplittableRandom random = callers.split();
            at(WARM_UP_NANOS, () -> scheduleArrival(workload.floodRank(), Workload.FLOOD_FACTOR, random));
        }
        if (workload.burstFactor() > 0) {
            at(WARM_UP_NANOS, this::sendBurst);
        }
        if (workload.outage()) {
            at(OUTAGE_START_NANOS, () -> setServers(site.servers() * 4 / 10));
            at(OUTAGE_END_NANOS, () -> setServers(site.servers()));
        }
        long endNanos = WARM_UP_NANOS + WINDOW_NANOS + DRAIN_NANOS;
        while (events.peek().timeNanos() < endNanos) {
            Event event = events.poll();
            nowNanos = event.timeNanos();
            event.body().run();
        }
        result.windowNanos = WINDOW_NANOS;
        return result;
    }

    private boolean isMeasured(long startNanos) {
        return startNanos >= WARM_UP_NANOS && startNanos < WARM_UP_NANOS + WINDOW_NANOS;
    }

    private void at(long timeNanos, Runnable body) {
        events.add(new Event(Math.max(timeNanos, nowNanos), nextEvent++, body));
    }

    private void after(long delayNanos, Runnable body) {
        at(nowNanos + delayNanos, body);
    }

    private void scheduleArrival(Rank rank, double share, SplittableRandom random) {
        double meanGapNanos = Workload.meanServiceNanos(rank) / (share * site.totalSlots());
        long gapNanos = (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos);
        after(gapNanos, () -> {
            start(newCall(rank, random));
            scheduleArrival(rank, share, random);
        });
    }

    private Call newCall(Rank rank, SplittableRandom random) {
        double service = Workload.medianServiceNanos(rank) * Math.exp(Workload.SERVICE_SIGMA * gaussian(random));
        return new Call(rank, random.nextInt(Site.DAEMONS), nowNanos, (long) service, 0);
    }

    private static double gaussian(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private void sendBurst() {
        SplittableRandom random = callers.split();
        for (int i = 0; i < workload.burstFactor() * site.totalSlots(); i++) {
            after(random.nextLong(5_000_000), () -> start(newCall(Rank.STANDARD, random)));
        }
        after(BURST_NANOS, this::sendBurst);
    }

    private void start(Call call) {
        int rank = call.rank().ordinal();
        if (isMeasured(call.startNanos())) {
            result.offered[rank] += call.attempt() == 0 ? 1 : 0;
            result.attempts[rank]++;
        }
        Attempt attempt = new Attempt(call, new RequestId("r" + nextRequest++), nowNanos);
        attempts.put(attempt.id, attempt);
        long deadlineNanos = nowNanos + Site.rankLimits().get(call.rank()).timeoutMillis() * 1_000_000L;
        SlotRequest request = new SlotRequest(attempt.id, call.rank(), deadlineNanos, Option.none(), server -> true);
        take(call.daemon(), pools.get(call.daemon()).submit(request, nowNanos));
        if (attempts.containsKey(attempt.id)) {
            at(deadlineNanos, () -> giveUp(attempt));
        }
    }

    private void giveUp(Attempt attempt) {
        if (attempts.remove(attempt.id) != null) {
            leaveServer(attempt);
            take(attempt.call.daemon(), pools.get(attempt.call.daemon()).cancel(attempt.id, nowNanos));
        }
    }

    private void take(int daemon, List<SlotAction> actions) {
        for (SlotAction action : actions) {
            if (action instanceof SlotAction.Dispatch dispatch) {
                dispatch(daemon, dispatch);
            } else if (action instanceof SlotAction.Refuse refuse) {
                refuse(refuse);
            } else if (action instanceof SlotAction.SendReport report) {
                Frame.Builder frame = Frame.newBuilder().setSlotReport(SlotCodec.encode(report.report()));
                send(daemon, 0, frame, () -> take(ledger.onReport(ids.get(daemon), report.report(), nowNanos)));
            }
        }
        if (daemon < tickNanos.length && tickNanos[daemon] != 0) {
            scheduleTick(daemon);
        }
    }

    private void take(List<LedgerAction> actions) {
        for (LedgerAction action : actions) {
            int daemon = indexes.get(action.daemon());
            if (action instanceof LedgerAction.SendGrant grant) {
                Frame.Builder frame = Frame.newBuilder().setSlotGrant(SlotCodec.encode(grant.grant()));
                send(
                        0,
                        daemon,
                        frame,
                        () -> take(daemon, pools.get(daemon).onGrant(ids.get(0), grant.grant(), nowNanos)));
            } else if (action instanceof LedgerAction.SendRecall recall) {
                Frame.Builder frame = Frame.newBuilder().setSlotRecall(SlotCodec.encode(recall.recall()));
                send(
                        0,
                        daemon,
                        frame,
                        () -> take(daemon, pools.get(daemon).onRecall(ids.get(0), recall.recall(), nowNanos)));
            }
        }
    }

    private void send(int from, int to, Frame.Builder frame, Runnable delivery) {
        if (isMeasured(nowNanos)) {
            long bytes = LENGTH_PREFIX_BYTES
                    + frame.setSender(ids.get(from).value())
                            .setReceiver(ids.get(to).value())
                            .build()
                            .getSerializedSize();
            switch (frame.getBodyCase()) {
                case SLOT_REPORT -> result.reports++;
                case SLOT_GRANT -> result.grants++;
                default -> result.recalls++;
            }
            result.messageBytes += bytes;
        }
        after(site.delayNanos(from % Site.ZONES, to % Site.ZONES), delivery);
    }

    private void scheduleTick(int daemon) {
        long dueNanos = Math.max(nowNanos + 1, pools.get(daemon).nextDeadlineNanos());
        if (dueNanos < tickNanos[daemon]) {
            tickNanos[daemon] = dueNanos;
            at(dueNanos, () -> {
                if (tickNanos[daemon] == dueNanos) {
                    tickNanos[daemon] = Long.MAX_VALUE;
                    take(daemon, pools.get(daemon).tick(nowNanos));
                }
            });
        }
    }

    private void scheduleLedgerTick() {
        at(Math.max(nowNanos + 1, ledger.nextDeadlineNanos()), () -> {
            take(ledger.tick(nowNanos));
            scheduleLedgerTick();
        });
    }

    private void dispatch(int daemon, SlotAction.Dispatch dispatch) {
        Attempt attempt = attempts.get(dispatch.request());
        int rank = attempt.call.rank().ordinal();
        if (isMeasured(attempt.call.startNanos())) {
            result.dispatched[rank]++;
            result.foundLeased[rank] += dispatch.queuedNanos() == 0 ? 1 : 0;
        }
        Backend backend = backends.get(dispatch.server());
        attempt.backend = backend;
        after(site.delayNanos(daemon % Site.ZONES, backend.zone), () -> arrive(attempt, backend));
    }

    private void arrive(Attempt attempt, Backend backend) {
        if (attempt.backend != backend || !attempts.containsKey(attempt.id)) {
            return;
        }
        if (backend.running < site.slots()) {
            runOn(backend, attempt);
        } else if (backend.queue.size() < SERVER_QUEUE_FACTOR * site.slots()) {
            backend.queue.add(attempt);
        } else {
            result.sheds += isMeasured(nowNanos) ? 1 : 0;
            attempt.backend = null;
            int daemon = attempt.call.daemon();
            after(site.delayNanos(backend.zone, daemon % Site.ZONES), () -> {
                if (attempts.containsKey(attempt.id)) {
                    take(daemon, pools.get(daemon).retry(attempt.id, RetryReason.SERVER_SHED, nowNanos));
                }
            });
        }
    }

    private void runOn(Backend backend, Attempt attempt) {
        backend.running++;
        attempt.running = true;
        attempt.runStartNanos = nowNanos;
        after(attempt.call.serviceNanos(), () -> {
            if (attempt.running) {
                leaveServer(attempt);
                int daemon = attempt.call.daemon();
                after(site.delayNanos(backend.zone, daemon % Site.ZONES), () -> finish(attempt, backend));
            }
        });
    }

    private void leaveServer(Attempt attempt) {
        Backend backend = attempt.backend;
        attempt.backend = null;
        if (backend == null) {
            return;
        }
        if (!attempt.running) {
            backend.queue.remove(attempt);
            return;
        }
        attempt.running = false;
        backend.running--;
        long startNanos = Math.max(attempt.runStartNanos, WARM_UP_NANOS);
        long endNanos = Math.min(nowNanos, WARM_UP_NANOS + WINDOW_NANOS);
        result.busyNanos[attempt.call.rank().ordinal()] += Math.max(0, endNanos - startNanos);
        if (!backend.queue.isEmpty()) {
            runOn(backend, backend.queue.poll());
        }
    }

    private void finish(Attempt attempt, Backend backend) {
        if (attempts.remove(attempt.id) == null) {
            return;
        }
        Call call = attempt.call;
        int rank = call.rank().ordinal();
        if (isMeasured(call.startNanos())) {
            result.served[rank]++;
            long latencyNanos = nowNanos - call.startNanos();
            result.latencies[rank].recordValue(latencyNanos / 1_000);
            long travelNanos = 2 * site.delayNanos(call.daemon() % Site.ZONES, backend.zone);
            result.added[rank].recordValue(Math.max(0, latencyNanos - call.serviceNanos() - travelNanos) / 1_000);
        }
        take(call.daemon(), pools.get(call.daemon()).complete(attempt.id, nowNanos));
    }

    private void refuse(SlotAction.Refuse refuse) {
        Attempt attempt = attempts.remove(refuse.request());
        if (attempt == null || attempt.call.attempt() >= workload.retries()) {
            return;
        }
        Call call = attempt.call;
        Call next = new Call(
                call.rank(), callers.nextInt(Site.DAEMONS), call.startNanos(), call.serviceNanos(), call.attempt() + 1);
        long delayNanos = refuse.retryAfterMillis() > 0 ? refuse.retryAfterMillis() * 1_000_000L : UNHINTED_RETRY_NANOS;
        after(delayNanos, () -> start(next));
    }
}
