package org.heatherreach.transport.http;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.vavr.control.Option;
import org.heatherreach.coordination.balance.PoolAction;
import org.heatherreach.coordination.balance.PoolRequest;
import org.heatherreach.coordination.balance.PoolResult;
import org.heatherreach.coordination.balance.ServerPool;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.ring.DutyThread;
import org.jboss.logging.Logger;

/**
 * Schedules with one {@link ServerPool} for each service.
 *
 * <p>Invariants: each submission that was accepted and not cancelled gets exactly one decision; a completion or a
 * cancellation is never lost.
 *
 * <p>Thread safety: the public methods may be called by any thread; the pools are confined to the duty thread.
 */
public final class PooledScheduler implements RequestScheduler {
    private static final Logger LOG = Logger.getLogger(PooledScheduler.class);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    /** Changes within this time are reported together to the daemons of the own zone, where bytes cost nothing. */
    private static final long NEAR_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(4);
    /** Loads that did not change are reported again, so that a lost datagram is made up for. */
    private static final long NEAR_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long FAR_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long LOAD_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Every peer hears of every change, so beyond this number of peers the reports are spread over more time. */
    private static final int PEERS_AT_FULL_RATE = 12;

    private final ZoneId zone;
    private final RandomGenerator random;
    private final PoolPeers peers;
    private final DutyThread<Runnable> duty;
    private final Queue<Runnable> overflow = new ConcurrentLinkedQueue<>();
    private final Map<ServiceId, Pool> pools = new HashMap<>();
    private final Map<Long, Entry> entries = new HashMap<>();
    private long nearDeadlineNanos = System.nanoTime();
    private long farDeadlineNanos = nearDeadlineNanos;
    private boolean nearReported;
    private boolean farReported;

    /**
     * Creates a scheduler and starts its thread.
     *
     * @param zone the availability zone of this daemon
     * @param random the source of random choices; used by the duty thread only
     * @param ringCapacity the number of events that may wait
     * @param peers takes reports of failures and loads
     */
    public PooledScheduler(ZoneId zone, RandomGenerator random, int ringCapacity, PoolPeers peers) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.random = Objects.requireNonNull(random, "random");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.duty = new DutyThread<>("schedule", ringCapacity, this::handle, this::tick, TICK_NANOS);
        this.duty.start();
    }

    @Override
    public boolean submit(Submission submission) {
        return duty.offer(() -> {
            long nowNanos = System.nanoTime();
            Pool pool = pool(submission.service());
            entries.put(submission.ticket(), new Entry(submission, pool));
            PoolRequest request = new PoolRequest(
                    submission.ticket(),
                    submission.terms().priority(),
                    submission.terms().idempotent(),
                    submission.terms().largeAnswer(),
                    nowNanos,
                    submission.deadlineNanos(),
                    submission.tried());
            apply(pool, pool.decisions.submit(request, nowNanos));
            reportSoon();
        });
    }

    @Override
    public void complete(long ticket, ExchangeResult result) {
        offerAlways(() -> {
            Entry entry = entries.remove(ticket);
            if (entry != null) {
                apply(entry.pool, entry.pool.decisions.complete(ticket, resultOf(result.failure()), System.nanoTime()));
                reportSoon();
            }
        });
    }

    @Override
    public void cancel(long ticket) {
        offerAlways(() -> {
            Entry entry = entries.remove(ticket);
            if (entry != null) {
                apply(entry.pool, entry.pool.decisions.cancel(ticket, System.nanoTime()));
            }
        });
    }

    /** Replaces the servers of a service by servers with one slot each, of which nothing more is known. */
    @Override
    public void changeServers(ServiceId service, List<BackendServer> servers) {
        long nowNanos = System.nanoTime();
        changePool(
                service,
                servers.stream()
                        .map(server -> new PooledServer(server, 0, 1, nowNanos))
                        .toList());
    }

    /** Replaces the servers of a service. */
    public void changePool(ServiceId service, List<PooledServer> servers) {
        offerAlways(() -> {
            Pool pool = pool(service);
            servers.forEach(server -> pool.servers.put(server.server().id(), server.server()));
            List<PoolAction> actions = pool.decisions.replaceServers(
                    servers.stream().map(PooledServer::toPoolServer).toList(), System.nanoTime());
            pool.servers
                    .keySet()
                    .retainAll(
                            servers.stream().map(server -> server.server().id()).collect(Collectors.toSet()));
            apply(pool, actions);
        });
    }

    /** Notes a failure that a peer observed. */
    public void notePeerFailure(long peer, ServiceId service, ServerId server, long incarnation, PoolResult result) {
        duty.offer(() -> {
            logReport(service, server, result, Long.toHexString(peer));
            pool(service).decisions.notePeerFailure(peer, server, incarnation, result, System.nanoTime());
        });
    }

    /** Notes the numbers of requests that all peers have at servers, and the servers that answered one of them. */
    public void notePeerLoads(Map<Integer, Integer> inFlight, Set<Integer> answered) {
        duty.offer(() -> {
            long nowNanos = System.nanoTime();
            pools.values().forEach(pool -> pool.decisions.notePeerAnswers(answered, nowNanos));
            pools.values()
                    .forEach(pool -> apply(
                            pool,
                            pool.decisions.notePeerLoads(
                                    inFlight, nowNanos + loadValidNanos(peers.count()), nowNanos)));
        });
    }

    /** Notes that this daemon stood still for a time which its monotonic clock does not show. */
    public void noteSuspension(long omittedNanos) {
        offerAlways(() -> {
            long nowNanos = System.nanoTime();
            pools.values().forEach(pool -> apply(pool, pool.decisions.refuseLate(nowNanos + omittedNanos)));
        });
    }

    @Override
    public void close() {
        offerAlways(() ->
                pools.values().forEach(pool -> apply(pool, pool.decisions.refuseWaiting(RefusalReason.SHUTTING_DOWN))));
        duty.close();
    }

    private void offerAlways(Runnable event) {
        if (!duty.offer(event)) {
            overflow.add(event);
        }
    }

    private void handle(Runnable event) {
        event.run();
    }

    private void tick(long nowNanos) {
        Runnable late = overflow.poll();
        while (late != null) {
            late.run();
            late = overflow.poll();
        }
        pools.values().forEach(pool -> apply(pool, pool.decisions.tick(nowNanos)));
        reportLoads(nowNanos);
    }

    private void reportLoads(long nowNanos) {
        if (nowNanos - nearDeadlineNanos >= 0) {
            nearDeadlineNanos = nowNanos + spread(NEAR_REPORT_NANOS, peers.count());
            nearReported = report(true, nearReported);
        }
        if (nowNanos - farDeadlineNanos >= 0) {
            farDeadlineNanos = nowNanos + spread(FAR_REPORT_NANOS, peers.count());
            farReported = report(false, farReported);
        }
    }

    /** Reports the loads. The first report without any says that nothing is left; further ones would repeat that. */
    private boolean report(boolean near, boolean reportedBefore) {
        Map<Integer, Integer> loads = new HashMap<>();
        pools.values().forEach(pool -> pool.decisions.addLoads(loads));
        Set<Integer> answered = new HashSet<>();
        if (near) {
            pools.values().forEach(pool -> pool.decisions.drainAnswers(answered));
        }
        if (!loads.isEmpty() || reportedBefore) {
            peers.reportLoads(loads, answered, near);
        }
        return !loads.isEmpty();
    }

    /** Returns the time after which the loads that a peer reported are forgotten if it did not renew them. */
    public static long loadValidNanos(int peerCount) {
        return spread(LOAD_VALID_NANOS, peerCount);
    }

    private static long spread(long nanos, int peerCount) {
        return nanos * Math.max(PEERS_AT_FULL_RATE, peerCount) / PEERS_AT_FULL_RATE;
    }

    /** Brings the report to the own zone forward, because the loads changed. */
    private void reportSoon() {
        int count = peers.count();
        // A change costs one packet for each peer, and the number of daemons that have changes grows with the peers.
        long deadlineNanos = System.nanoTime() + spread(spread(NEAR_GAP_NANOS, count), count);
        if (deadlineNanos - nearDeadlineNanos < 0) {
            nearDeadlineNanos = deadlineNanos;
            duty.tickBy(deadlineNanos);
        }
    }

    private void apply(Pool pool, List<PoolAction> actions) {
        for (PoolAction action : actions) {
            if (action instanceof PoolAction.Dispatch dispatch) {
                Entry entry = entries.get(dispatch.ticket());
                entry.submission
                        .callback()
                        .accept(new ScheduleDecision.Dispatch(
                                pool.servers.get(dispatch.server()), Option.some(dispatch.basis())));
            } else if (action instanceof PoolAction.Refuse refusal) {
                Entry entry = entries.remove(refusal.ticket());
                entry.submission
                        .callback()
                        .accept(new ScheduleDecision.Refuse(refusal.reason(), refusal.retryAfterMillis()));
            } else if (action instanceof PoolAction.Report report) {
                logReport(pool.service, report.server(), report.result(), "own");
                peers.reportFailure(pool.service, report.server(), report.incarnation(), report.result());
            }
        }
    }

    private static void logReport(ServiceId service, ServerId server, PoolResult result, String observer) {
        LOG.infof(
                "server=%s service=%s state=%s result=%s observer=%s",
                server, service, result.isFailure() ? "suspected" : "cleared", result.label(), observer);
    }

    private Pool pool(ServiceId service) {
        return pools.computeIfAbsent(service, key -> new Pool(key, new ServerPool(zone, random)));
    }

    private static PoolResult resultOf(FailureKind failure) {
        return switch (failure) {
            case NONE -> PoolResult.SUCCESS;
            case ERROR -> PoolResult.ERROR;
            case TRUNCATED -> PoolResult.LOST;
            case STALLED -> PoolResult.STALLED;
            case CONNECT -> PoolResult.UNREACHABLE;
            case SHED -> PoolResult.SHED;
            case MISDIRECTED -> PoolResult.MISDIRECTED;
            case CANCELLED -> PoolResult.CANCELLED;
        };
    }

    /** The servers of one service. */
    private static final class Pool {
        private final ServiceId service;
        private final ServerPool decisions;
        private final Map<ServerId, BackendServer> servers = new HashMap<>();

        private Pool(ServiceId service, ServerPool decisions) {
            this.service = service;
            this.decisions = decisions;
        }
    }

    /** A submission that waits or is dispatched. */
    private record Entry(Submission submission, Pool pool) {}
}
