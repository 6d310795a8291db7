package org.heatherreach.transport.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.transport.duty.DutyThread;

/**
 * Schedules with the state of this daemon alone: it picks the less loaded of two random servers, applies local slot
 * limits and keeps one queue per rank, ordered by deadline.
 *
 * <p>Invariants: a server never runs more submissions of this daemon than it has slots; a queue never exceeds its
 * limit; each submission that was accepted and not cancelled gets exactly one decision.
 *
 * <p>Thread safety: the public methods may be called by any thread; the state is confined to the duty thread.
 */
public final class LocalScheduler implements RequestScheduler {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int RETRY_AFTER_MIN_MILLIS = 500;
    private static final int RETRY_AFTER_SPREAD_MILLIS = 1000;

    private final ServiceCatalog catalog;
    private final RandomGenerator random;
    private final DutyThread<Event> duty;
    private final Map<ServiceId, Pool> pools = new HashMap<>();
    private final Map<Long, Entry> entries = new HashMap<>();

    /**
     * Creates a scheduler and starts its thread.
     *
     * @param catalog the limits of services and ranks
     * @param random the source of all random choices; used by the duty thread only
     * @param ringCapacity the number of events that may wait
     */
    public LocalScheduler(ServiceCatalog catalog, RandomGenerator random, int ringCapacity) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.random = Objects.requireNonNull(random, "random");
        this.duty = new DutyThread<>("schedule", ringCapacity, this::apply, this::tick, TICK_NANOS);
        this.duty.start();
    }

    @Override
    public boolean submit(Submission submission) {
        return duty.offer(new Submitted(submission));
    }

    @Override
    public void complete(long ticket, ExchangeResult result) {
        duty.offerAlways(new Released(ticket));
    }

    @Override
    public void cancel(long ticket) {
        duty.offerAlways(new Released(ticket));
    }

    @Override
    public void changeServers(ServiceId service, List<BackendServer> servers) {
        duty.offerAlways(new ServersChanged(service, List.copyOf(servers)));
    }

    @Override
    public void close() {
        duty.offerAlways(new Closing());
        duty.close();
    }

    private void apply(Event event) {
        if (event instanceof Submitted submitted) {
            admit(submitted.submission());
        } else if (event instanceof Released released) {
            release(released.ticket());
        } else if (event instanceof ServersChanged changed) {
            Pool pool = pools.computeIfAbsent(changed.service(), Pool::new);
            pool.replace(changed.servers());
            dispatchQueued(pool);
        } else {
            refuseAll();
        }
    }

    private void tick(long nowNanos) {
        for (Pool pool : pools.values()) {
            for (Queue<Submission> queue : pool.queues.values()) {
                while (!queue.isEmpty() && queue.peek().deadlineNanos() - nowNanos <= 0) {
                    Submission expired = queue.poll();
                    entries.remove(expired.ticket());
                    refuse(expired, RefusalReason.DEADLINE_PASSED, 0);
                }
            }
        }
    }

    private void admit(Submission submission) {
        Pool pool = pools.get(submission.service());
        if (pool == null || pool.servers.isEmpty()) {
            refuse(submission, RefusalReason.NO_SERVER, randomRetryAfterMillis());
            return;
        }
        Queue<Submission> queue = pool.queues.get(submission.rank());
        ServerLoad load = queue.isEmpty() ? pool.choose(submission, slotsOf(pool.service), random) : null;
        if (load != null) {
            dispatch(pool, submission, load);
        } else if (queue.size()
                >= catalog.rankLimits(submission.service(), submission.rank()).queueLimit()) {
            refuse(submission, RefusalReason.QUEUE_FULL, randomRetryAfterMillis());
        } else {
            queue.add(submission);
            entries.put(submission.ticket(), new Entry(pool, submission, null));
        }
    }

    private void dispatch(Pool pool, Submission submission, ServerLoad load) {
        load.inUse++;
        entries.put(submission.ticket(), new Entry(pool, submission, load));
        submission.callback().accept(new ScheduleDecision.Dispatch(load.server));
    }

    private void release(long ticket) {
        Entry entry = entries.remove(ticket);
        if (entry == null) {
            return;
        }
        if (entry.load() == null) {
            entry.pool().queues.get(entry.submission().rank()).remove(entry.submission());
            return;
        }
        entry.load().inUse--;
        dispatchQueued(entry.pool());
    }

    private void dispatchQueued(Pool pool) {
        int slots = slotsOf(pool.service);
        for (Queue<Submission> queue : pool.queues.values()) {
            while (!queue.isEmpty()) {
                ServerLoad load = pool.choose(queue.peek(), slots, random);
                if (load == null) {
                    return;
                }
                dispatch(pool, queue.poll(), load);
            }
        }
    }

    private void refuseAll() {
        for (Pool pool : pools.values()) {
            for (Queue<Submission> queue : pool.queues.values()) {
                while (!queue.isEmpty()) {
                    refuse(queue.poll(), RefusalReason.SHUTTING_DOWN, randomRetryAfterMillis());
                }
            }
        }
    }

    private int slotsOf(ServiceId service) {
        return catalog.serviceLimits(service).map(limits -> limits.slots()).getOrElse(1);
    }

    private long randomRetryAfterMillis() {
        return RETRY_AFTER_MIN_MILLIS + random.nextInt(RETRY_AFTER_SPREAD_MILLIS);
    }

    private static void refuse(Submission submission, RefusalReason reason, long retryAfterMillis) {
        submission.callback().accept(new ScheduleDecision.Refuse(reason, retryAfterMillis));
    }

    private sealed interface Event {}

    private record Submitted(Submission submission) implements Event {}

    private record Released(long ticket) implements Event {}

    private record ServersChanged(ServiceId service, List<BackendServer> servers) implements Event {}

    private record Closing() implements Event {}

    /** A submission that is queued, with a null load, or dispatched. */
    private record Entry(Pool pool, Submission submission, ServerLoad load) {}

    private static final class ServerLoad {
        private final BackendServer server;
        private int inUse;

        private ServerLoad(BackendServer server) {
            this.server = server;
        }
    }

    private static final class Pool {
        private final ServiceId service;
        private final Map<Rank, Queue<Submission>> queues = new EnumMap<>(Rank.class);
        private List<ServerLoad> servers = new ArrayList<>();

        private Pool(ServiceId service) {
            this.service = service;
            for (Rank rank : Rank.values()) {
                queues.put(rank, new PriorityQueue<>(Comparator.comparingLong(Submission::deadlineNanos)));
            }
        }

        private void replace(List<BackendServer> newServers) {
            Map<BackendServer, ServerLoad> knownLoads = new HashMap<>();
            servers.forEach(load -> knownLoads.put(load.server, load));
            List<ServerLoad> newLoads = new ArrayList<>();
            newServers.forEach(server -> newLoads.add(knownLoads.getOrDefault(server, new ServerLoad(server))));
            servers = newLoads;
        }

        private ServerLoad choose(Submission submission, int slots, RandomGenerator random) {
            if (servers.isEmpty()) {
                return null;
            }
            ServerLoad first = servers.get(random.nextInt(servers.size()));
            ServerLoad second = servers.get(random.nextInt(servers.size()));
            ServerLoad best = preferred(submission, first, second);
            if (isUsable(submission, best, slots)) {
                return best;
            }
            // Both servers are full or were tried before, which is common with few slots, so all servers are searched.
            for (ServerLoad load : servers) {
                best = preferred(submission, best, load);
            }
            return best.inUse < slots ? best : null;
        }

        private static ServerLoad preferred(Submission submission, ServerLoad first, ServerLoad second) {
            boolean firstTried = submission.triedServers().contains(first.server.id());
            boolean secondTried = submission.triedServers().contains(second.server.id());
            if (firstTried != secondTried) {
                return firstTried ? second : first;
            }
            return second.inUse < first.inUse ? second : first;
        }

        private static boolean isUsable(Submission submission, ServerLoad load, int slots) {
            return load.inUse < slots && !submission.triedServers().contains(load.server.id());
        }
    }
}
