package org.heatherreach.coordination.slot;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.outcome.RetryReason;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Baseline for tests and benchmarks without coordination between daemons. Chooses a random server, limits only the
 * requests of its own daemon, queues all ranks in one FIFO queue, and retries without a budget and without avoiding
 * servers that were tried. Confined to one thread.
 */
public final class NaiveSlotPool implements SlotPool {
    private static final long TICK_NANOS = 250_000_000L;

    private final RandomGenerator random;
    private final Map<RequestId, Entry> entries = new HashMap<>();
    private final Map<ServerId, Integer> inUse = new HashMap<>();
    private final Deque<Entry> queue = new ArrayDeque<>();
    private final List<ServerId> servers = new ArrayList<>();

    private ServiceLimits limits;
    private int queueLimit;
    private long lastTickNanos;

    /** Creates a pool without servers. */
    public NaiveSlotPool(
            ServiceLimits limits, Map<Rank, RankLimits> rankLimits, RandomGenerator random, long nowNanos) {
        this.random = Objects.requireNonNull(random, "random");
        this.lastTickNanos = nowNanos;
        setLimits(limits, rankLimits);
    }

    private void setLimits(ServiceLimits newLimits, Map<Rank, RankLimits> rankLimits) {
        limits = newLimits;
        queueLimit =
                rankLimits.values().stream().mapToInt(RankLimits::queueLimit).sum();
    }

    @Override
    public List<SlotAction> submit(SlotRequest request, long nowNanos) {
        if (entries.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is already outstanding");
        }
        List<SlotAction> actions = new ArrayList<>(1);
        if (servers.isEmpty()) {
            actions.add(new SlotAction.Refuse(request.id(), RefusalReason.NO_SERVER, 0));
        } else if (queue.size() >= queueLimit) {
            actions.add(new SlotAction.Refuse(request.id(), RefusalReason.QUEUE_FULL, 0));
        } else {
            Entry entry = new Entry(request, nowNanos);
            entries.put(request.id(), entry);
            queue.add(entry);
            dispatchQueued(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<SlotAction> complete(RequestId request, long nowNanos) {
        return cancel(request, nowNanos);
    }

    @Override
    public List<SlotAction> cancel(RequestId request, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(1);
        Entry entry = entries.remove(request);
        if (entry != null) {
            queue.remove(entry);
            releaseSlot(entry);
            dispatchQueued(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<SlotAction> retry(RequestId request, RetryReason reason, long nowNanos) {
        List<SlotAction> actions = new ArrayList<>(1);
        Entry entry = entries.get(request);
        if (entry != null && entry.server != null) {
            releaseSlot(entry);
            queue.addFirst(entry);
            dispatchQueued(nowNanos, actions);
        }
        return actions;
    }

    private void releaseSlot(Entry entry) {
        if (entry.server != null) {
            inUse.merge(entry.server, -1, Integer::sum);
            entry.server = null;
        }
    }

    private void dispatchQueued(long nowNanos, List<SlotAction> actions) {
        while (!queue.isEmpty()) {
            Entry entry = queue.peek();
            if (entry.request.deadlineNanos() - nowNanos <= 0) {
                queue.poll();
                entries.remove(entry.request.id());
                actions.add(new SlotAction.Refuse(entry.request.id(), RefusalReason.DEADLINE_PASSED, 0));
                continue;
            }
            int running = entries.size() - queue.size();
            if (servers.isEmpty() || running >= servers.size() * limits.slots()) {
                return;
            }
            ServerId server = servers.get(random.nextInt(servers.size()));
            queue.poll();
            entry.server = server;
            inUse.merge(server, 1, Integer::sum);
            actions.add(new SlotAction.Dispatch(entry.request.id(), server, nowNanos - entry.submittedNanos));
        }
    }

    @Override
    public List<SlotAction> onGrant(IncarnationId sender, SlotGrant grant, long nowNanos) {
        return List.of();
    }

    @Override
    public List<SlotAction> onRecall(IncarnationId sender, SlotRecall recall, long nowNanos) {
        return List.of();
    }

    @Override
    public List<SlotAction> onOwner(IncarnationId owner, long nowNanos) {
        return List.of();
    }

    @Override
    public List<SlotAction> onServers(List<SlotServer> listed, int liveDaemons, long nowNanos) {
        servers.clear();
        for (SlotServer server : listed) {
            if (server.sharePercent() > 0) {
                servers.add(server.server());
            }
        }
        List<SlotAction> actions = new ArrayList<>();
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> onLimits(ServiceLimits newLimits, Map<Rank, RankLimits> rankLimits, long nowNanos) {
        setLimits(newLimits, rankLimits);
        List<SlotAction> actions = new ArrayList<>();
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public List<SlotAction> tick(long nowNanos) {
        lastTickNanos = nowNanos;
        List<SlotAction> actions = new ArrayList<>();
        dispatchQueued(nowNanos, actions);
        return actions;
    }

    @Override
    public long nextDeadlineNanos() {
        return lastTickNanos + TICK_NANOS;
    }

    /** An outstanding request, queued or running. */
    private static final class Entry {
        final SlotRequest request;
        final long submittedNanos;

        /** The server that runs the request; null while it is queued. */
        ServerId server;

        Entry(SlotRequest request, long submittedNanos) {
            this.request = request;
            this.submittedNanos = submittedNanos;
        }
    }
}
