package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Option;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.outcome.RetryReason;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

import static org.assertj.core.api.Assertions.assertThat;

/** Pools and a ledger that exchange simulated messages, which a test delivers, drops or repeats in any order. */
final class SlotSimulation {
    static final int DAEMONS = 4;
    static final int SERVERS = 3;
    static final int SLOTS = 2;
    static final IncarnationId OWNER = new IncarnationId(99);
    static final long NANOS_PER_MILLI = 1_000_000L;

    final List<SlotPool> pools = new ArrayList<>();
    final List<IncarnationId> daemonIds = new ArrayList<>();
    final List<Message> messages = new ArrayList<>();
    final Map<RequestId, Integer> decisionCounts = new HashMap<>();
    final Map<RequestId, RefusalReason> refusals = new HashMap<>();
    final Set<RequestId> submitted = new HashSet<>();
    final Set<RequestId> cancelled = new HashSet<>();
    final Map<RequestId, Running> running = new HashMap<>();
    final List<SlotServer> listed = new ArrayList<>();
    final boolean naive;
    SlotLedger ledger;
    long nowNanos = 1_000 * NANOS_PER_MILLI;
    int nextRequestNumber;

    record Message(IncarnationId daemon, Object body) {}

    record Running(int daemon, ServerId server, boolean leased) {}

    SlotSimulation(boolean naive) {
        this.naive = naive;
        for (int i = 0; i < SERVERS; i++) {
            listed.add(new SlotServer(new ServerId("s" + i), new ZoneId("z" + i % 2), 100));
        }
        replaceLedger();
        for (int i = 0; i < DAEMONS; i++) {
            daemonIds.add(new IncarnationId(i + 1));
            SlotPool pool = naive
                    ? new NaiveSlotPool(limits(), ranks(), new Random(i), nowNanos)
                    : new LeasedSlotPool(
                            limits(), ranks(), 0, new ZoneId("z" + i % 2), workspace -> 2, new Random(i), nowNanos);
            pools.add(pool);
            handleActions(i, pool.onServers(listed, DAEMONS, nowNanos));
            handleActions(i, pool.onOwner(OWNER, nowNanos));
        }
    }

    /** Replaces the ledger by an empty one, as after a change of the owner. */
    void replaceLedger() {
        ledger = new SlotLedger(limits(), ranks(), 0, nowNanos);
        handleActions(ledger.onServers(listed, nowNanos));
    }

    void applyListedServers() {
        handleActions(ledger.onServers(listed, nowNanos));
        for (int i = 0; i < DAEMONS; i++) {
            handleActions(i, pools.get(i).onServers(listed, DAEMONS, nowNanos));
        }
    }

    static ServiceLimits limits() {
        return new ServiceLimits(new ServiceId("s"), 50, SLOTS, 300, 10);
    }

    static Map<Rank, RankLimits> ranks() {
        Map<Rank, RankLimits> ranks = new EnumMap<>(Rank.class);
        ranks.put(Rank.URGENT, new RankLimits(Rank.URGENT, 1, 40, 20, 2_000));
        ranks.put(Rank.STANDARD, new RankLimits(Rank.STANDARD, 1, 25, 20, 2_000));
        ranks.put(Rank.BULK, new RankLimits(Rank.BULK, 1, 15, 20, 2_000));
        return ranks;
    }

    RequestId submit(int daemon, Rank rank, long timeoutMillis) {
        RequestId id = new RequestId("r" + nextRequestNumber++);
        submitted.add(id);
        SlotRequest request =
                new SlotRequest(id, rank, nowNanos + timeoutMillis * NANOS_PER_MILLI, Option.none(), server -> true);
        handleActions(daemon, pools.get(daemon).submit(request, nowNanos));
        return id;
    }

    void complete(RequestId id) {
        Running entry = running.remove(id);
        handleActions(entry.daemon(), pools.get(entry.daemon()).complete(id, nowNanos));
    }

    void retry(RequestId id, RetryReason reason) {
        Running entry = running.remove(id);
        handleActions(entry.daemon(), pools.get(entry.daemon()).retry(id, reason, nowNanos));
    }

    void cancel(int daemon, RequestId id) {
        cancelled.add(id);
        running.remove(id);
        handleActions(daemon, pools.get(daemon).cancel(id, nowNanos));
    }

    void advance(long nanos) {
        nowNanos += nanos;
        for (int i = 0; i < DAEMONS; i++) {
            handleActions(i, pools.get(i).tick(nowNanos));
        }
        handleActions(ledger.tick(nowNanos));
    }

    void deliver(int index) {
        handleMessage(messages.remove(index));
    }

    void deliverCopy(int index) {
        handleMessage(messages.get(index));
    }

    void deliverAll() {
        while (!messages.isEmpty()) {
            deliver(0);
        }
    }

    /** Passes a message to its receiver and queues the messages that follow from it. */
    private void handleMessage(Message message) {
        int daemon = daemonIds.indexOf(message.daemon());
        if (message.body() instanceof SlotReport report) {
            handleActions(ledger.onReport(message.daemon(), report, nowNanos));
        } else if (message.body() instanceof SlotGrant grant) {
            handleActions(daemon, pools.get(daemon).onGrant(OWNER, grant, nowNanos));
        } else if (message.body() instanceof SlotRecall recall) {
            handleActions(daemon, pools.get(daemon).onRecall(OWNER, recall, nowNanos));
        }
    }

    /** Queues the messages of the ledger. */
    private void handleActions(List<LedgerAction> actions) {
        for (LedgerAction action : actions) {
            Object body = action instanceof LedgerAction.SendGrant grant
                    ? grant.grant()
                    : ((LedgerAction.SendRecall) action).recall();
            messages.add(new Message(action.daemon(), body));
        }
    }

    /** Records the decisions of a pool and queues its reports. */
    private void handleActions(int daemon, List<SlotAction> actions) {
        for (SlotAction action : actions) {
            if (action instanceof SlotAction.Dispatch dispatch) {
                decisionCounts.merge(dispatch.request(), 1, Integer::sum);
                boolean leased = pools.get(daemon) instanceof LeasedSlotPool pool && !pool.usesLocalShare();
                running.put(dispatch.request(), new Running(daemon, dispatch.server(), leased));
            } else if (action instanceof SlotAction.Refuse refuse) {
                decisionCounts.merge(refuse.request(), 1, Integer::sum);
                refusals.put(refuse.request(), refuse.reason());
                assertThat(running).doesNotContainKey(refuse.request());
            } else if (action instanceof SlotAction.SendReport report) {
                messages.add(new Message(daemonIds.get(daemon), report.report()));
            }
        }
    }

    /** Returns the number of slots of a server with valid leases at all daemons together. */
    int leasedSlotsOf(ServerId server) {
        int sum = 0;
        for (SlotPool pool : pools) {
            sum += ((LeasedSlotPool) pool).leasedSlotsOf(server, nowNanos);
        }
        return sum;
    }

    /**
     * Returns the number of requests on a server, without those on a local share and those that outlived their lease.
     */
    int runningOn(ServerId server) {
        running.replaceAll(
                (id, entry) -> entry.leased() && !((LeasedSlotPool) pools.get(entry.daemon())).hasValidLeases(nowNanos)
                        ? new Running(entry.daemon(), entry.server(), false)
                        : entry);
        return (int) running.values().stream()
                .filter(entry -> entry.server().equals(server) && (naive || entry.leased()))
                .count();
    }
}
