package org.heatherreach.transport.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.heatherreach.coordination.balance.PoolAction;
import org.heatherreach.coordination.balance.PoolForecast;
import org.heatherreach.coordination.balance.PoolPolicy;
import org.heatherreach.coordination.balance.PoolRequest;
import org.heatherreach.coordination.balance.PoolResult;
import org.heatherreach.coordination.balance.ServerNotice;
import org.heatherreach.coordination.balance.ServerPool;
import org.heatherreach.coordination.balance.ShareCounts;
import org.heatherreach.coordination.work.PeerWork;
import org.heatherreach.coordination.work.WorkEstimate;
import org.heatherreach.coordination.work.WorkEstimator;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.duty.DutyThread;
import org.jboss.logging.Logger;

/**
 * Schedules the requests of each service with its own {@link ServerPool}.
 *
 * <p>Invariants: each submission that was accepted and not cancelled gets exactly one decision; a completion or a
 * cancellation is never lost; changes of the servers of a service are applied in order.
 *
 * <p>Thread safety: the public methods may be called by any thread; the pools are confined to the duty thread.
 */
public final class PooledScheduler implements RequestScheduler {
    private static final Logger LOG = Logger.getLogger(PooledScheduler.class);
    /** The longest time between two checks for servers that do not answer, and for requests that wait too long. */
    private static final long IDLE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** The time between these checks while requests wait. */
    private static final long BUSY_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private static final double NANOS_PER_MILLI = 1e6;

    private final ZoneId zone;
    private final RandomGenerator random;
    private final PoolPeers peers;
    private final PoolPolicy policy;
    private final WorkEstimator estimator = new WorkEstimator();
    private final WorkEstimates workEstimates;
    private final DutyThread<Runnable> duty;
    private final Map<ServiceId, ServicePool> pools = new HashMap<>();
    private final Map<Long, Entry> entries = new HashMap<>();
    private final LoadReporter loadReporter;
    private List<DaemonId> zoneDaemons = List.of();
    private boolean stopped;
    private volatile WorkStatus workStatus = WorkStatus.NONE;
    private volatile ShareCounts shareCounts = ShareCounts.NONE;

    /**
     * Creates a scheduler with the default policy and starts its thread.
     *
     * @param zone the availability zone of this daemon
     * @param random the source of random choices; used by the duty thread only
     * @param ringCapacity the number of events that may wait
     * @param peers receives reports of failures and loads
     */
    public PooledScheduler(ZoneId zone, RandomGenerator random, int ringCapacity, PoolPeers peers) {
        this(zone, random, ringCapacity, peers, PoolPolicy.DEFAULT);
    }

    /**
     * Creates a scheduler and starts its thread.
     *
     * @param zone the availability zone of this daemon
     * @param random the source of random choices; used by the duty thread only
     * @param ringCapacity the number of events that may wait
     * @param peers receives reports of failures and loads
     * @param policy how servers are chosen
     */
    public PooledScheduler(ZoneId zone, RandomGenerator random, int ringCapacity, PoolPeers peers, PoolPolicy policy) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.random = Objects.requireNonNull(random, "random");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.workEstimates = new WorkEstimates(policy.measure(), estimator);
        this.loadReporter = new LoadReporter(peers, policy, System.nanoTime());
        this.duty = new DutyThread<>("schedule", ringCapacity, Runnable::run, this::tick, IDLE_TICK_NANOS);
        this.duty.start();
    }

    @Override
    public boolean submit(Submission submission) {
        return duty.offer(() -> {
            if (stopped) {
                submission.callback().accept(new ScheduleDecision.Refuse(RefusalReason.SHUTTING_DOWN, 0));
                return;
            }
            long nowNanos = System.nanoTime();
            ServicePool pool = pool(submission.service());
            entries.put(submission.ticket(), new Entry(submission, pool));
            PoolRequest request = new PoolRequest(
                    submission.ticket(),
                    submission.terms().priority(),
                    submission.terms().idempotent(),
                    submission.terms().largeAnswer(),
                    nowNanos,
                    submission.deadlineNanos(),
                    submission.triedServers(),
                    workEstimates.estimate(submission, nowNanos));
            apply(pool, pool.serverPool().submit(request, submission.workspace(), nowNanos));
            advanceReportWhileWaiting(pool);
        });
    }

    /**
     * Asks what would be decided on a request. Nothing that a later decision depends on changes.
     *
     * @param callback receives the forecast; called by the scheduler's thread and must not block
     * @return whether the question was accepted; it is not if the scheduler is overloaded or closed
     */
    public boolean explain(RouteQuestion question, Consumer<RouteForecast> callback) {
        return duty.offer(() -> callback.accept(forecast(question, System.nanoTime())));
    }

    private RouteForecast forecast(RouteQuestion question, long nowNanos) {
        WorkEstimate estimate = workEstimates.peek(question, nowNanos);
        PoolRequest request = new PoolRequest(
                Long.MAX_VALUE,
                question.terms().priority(),
                question.terms().idempotent(),
                question.terms().largeAnswer(),
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(question.timeoutMillis()),
                Set.of(),
                estimate);
        ServicePool pool = pools.get(question.service());
        PoolForecast ofPool;
        if (stopped) {
            ofPool = PoolForecast.refused(new PoolForecast.Refusal(RefusalReason.SHUTTING_DOWN, 0, 0));
        } else if (pool == null) {
            // As for a service whose pool would be created without servers by the request.
            ofPool = new ServerPool(zone, random, policy, estimator).forecast(request, question.workspace(), nowNanos);
        } else {
            ofPool = pool.serverPool().forecast(request, question.workspace(), nowNanos);
        }
        return new RouteForecast(
                ofPool,
                measuresWork() ? Option.some(estimate.meanNanos() / NANOS_PER_MILLI) : Option.none(),
                estimate.isKnown());
    }

    @Override
    public void complete(long ticket, ExchangeResult result) {
        duty.offerAlways(() -> {
            Entry entry = entries.remove(ticket);
            if (entry != null) {
                apply(
                        entry.pool,
                        entry.pool
                                .serverPool()
                                .complete(ticket, result.failure().poolResult(), System.nanoTime()));
                if (result.failure() != FailureKind.NONE) {
                    // A retry may follow, which uses up the budget that the daemons of the zone share.
                    advanceSameZoneReport();
                }
                advanceReportWhileWaiting(entry.pool);
            }
        });
    }

    @Override
    public void recordNotice(long ticket, ServerNotice notice) {
        duty.offerAlways(() -> {
            Entry entry = entries.get(ticket);
            if (entry != null) {
                apply(entry.pool, entry.pool.serverPool().recordNotice(ticket, notice, System.nanoTime()));
            }
        });
    }

    @Override
    public void cancel(long ticket) {
        duty.offerAlways(() -> {
            Entry entry = entries.remove(ticket);
            if (entry != null) {
                apply(entry.pool, entry.pool.serverPool().cancel(ticket, System.nanoTime()));
            }
        });
    }

    /**
     * Replaces the servers of a service. Each server gets one slot and incarnation 0, as nothing more is known about
     * it.
     */
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
        duty.offerAlways(() -> {
            ServicePool pool = pool(service);
            apply(pool, pool.replaceServers(servers, System.nanoTime()));
        });
    }

    /**
     * Records the result of an exchange with a server that a peer reported: a failure, or a success that ends a
     * suspicion.
     */
    public void recordPeerResult(long peer, ServiceId service, ServerId server, long incarnation, PoolResult result) {
        duty.offer(() -> {
            boolean changed =
                    pool(service).serverPool().notePeerFailure(peer, server, incarnation, result, System.nanoTime());
            if (changed) {
                // Only changes are logged, or the lines of each daemon would grow with the failures of the whole fleet.
                logReport(service, server, result, Long.toHexString(peer));
            }
        });
    }

    /** Returns whether loads are measured by the expected work. */
    public boolean measuresWork() {
        return policy.measuresWork();
    }

    /** Returns the state of the estimates of work at the last tick. */
    public WorkStatus workStatus() {
        return workStatus;
    }

    /** Returns how many requests were dispatched out of the order by priority and deadline, as of the last tick. */
    public ShareCounts shareCounts() {
        return shareCounts;
    }

    /**
     * Records the numbers of requests that all peers have in flight at servers, and the servers that responded to a
     * peer.
     *
     * @param work the work that peers have left at the same servers; empty if loads are not measured by it
     * @param rejecting the servers that turned a request of a peer away although they should have had room
     */
    public void recordPeerLoads(
            Map<Integer, Integer> inFlight,
            Map<Integer, PeerWork> work,
            Set<Integer> answered,
            Set<Integer> rejecting) {
        duty.offer(() -> {
            long nowNanos = System.nanoTime();
            if (measuresWork()) {
                pools.values().forEach(pool -> pool.serverPool().notePeerWork(work));
            }
            pools.values().forEach(pool -> pool.serverPool().notePeerAnswers(answered, nowNanos));
            if (!rejecting.isEmpty()) {
                pools.values().forEach(pool -> pool.serverPool().notePeerRejections(rejecting, nowNanos));
            }
            long validUntilNanos = nowNanos + LoadReportSchedule.validityNanos(peers);
            pools.values()
                    .forEach(pool -> apply(pool, pool.serverPool().notePeerLoads(inFlight, validUntilNanos, nowNanos)));
        });
    }

    /** Records that this daemon was suspended for a time that its monotonic clock does not include. */
    public void recordSuspension(long omittedNanos) {
        duty.offerAlways(() -> {
            long nowNanos = System.nanoTime();
            pools.values().forEach(pool -> apply(pool, pool.serverPool().refuseLate(nowNanos + omittedNanos)));
        });
    }

    /**
     * Refuses the requests that wait and every later one, because the daemon ends before a server could answer them.
     * Requests that were dispatched are not affected. May be called repeatedly.
     */
    public void stopDispatching() {
        duty.offerAlways(() -> {
            stopped = true;
            pools.values().forEach(pool -> apply(pool, pool.serverPool().refuseWaiting(RefusalReason.SHUTTING_DOWN)));
        });
    }

    @Override
    public void close() {
        stopDispatching();
        duty.close();
    }

    private void tick(long nowNanos) {
        pools.values().forEach(pool -> apply(pool, pool.serverPool().tick(nowNanos)));
        reportLoads(nowNanos);
        shareCounts = pools.values().stream()
                .map(pool -> pool.serverPool().shareCounts())
                .reduce(ShareCounts.NONE, ShareCounts::plus);
        if (measuresWork()) {
            double leftNanos = pools.values().stream()
                    .mapToDouble(pool -> pool.serverPool().ownWorkLeftNanos(nowNanos))
                    .sum();
            workStatus = workEstimates.status(leftNanos);
        }
    }

    private void reportLoads(long nowNanos) {
        if (loadReporter.isSameZoneDue(nowNanos)) {
            updateZoneDaemons();
        }
        loadReporter.reportDue(
                pools.values().stream().map(ServicePool::serverPool).toList(), nowNanos);
        loadReporter.advanceTick(duty);
    }

    private void updateZoneDaemons() {
        List<DaemonId> listed = peers.zoneDaemons();
        if (!listed.equals(zoneDaemons)) {
            zoneDaemons = listed;
            pools.values().forEach(pool -> pool.serverPool().replaceDaemons(peers.self(), zoneDaemons));
        }
    }

    /**
     * Makes the next report due earlier after an own request began or ended while others wait, since peers should know
     * soon which slots are free. A report of a peer must not have this effect, or the daemons would keep each other
     * reporting.
     */
    private void advanceReportWhileWaiting(ServicePool pool) {
        if (pool.serverPool().hasWaiting()) {
            advanceSameZoneReport();
        }
    }

    /** Makes the next report to the peers in the same zone due earlier. */
    private void advanceSameZoneReport() {
        loadReporter.advanceSameZone(duty, System.nanoTime());
    }

    private void apply(ServicePool pool, List<PoolAction> actions) {
        for (PoolAction action : actions) {
            if (action instanceof PoolAction.Dispatch dispatch) {
                Entry entry = entries.get(dispatch.ticket());
                entry.submission
                        .callback()
                        .accept(new ScheduleDecision.Dispatch(
                                pool.server(dispatch.server()), Option.some(dispatch.basis())));
            } else if (action instanceof PoolAction.Refuse refusal) {
                Entry entry = entries.remove(refusal.ticket());
                entry.submission
                        .callback()
                        .accept(new ScheduleDecision.Refuse(refusal.reason(), refusal.retryAfterMillis()));
            } else if (action instanceof PoolAction.Report report) {
                logReport(pool.service(), report.server(), report.result(), "own");
                peers.reportFailure(pool.service(), report.server(), report.incarnation(), report.result());
            }
        }
        if (pool.serverPool().hasWaiting()) {
            duty.advanceTickTo(System.nanoTime() + BUSY_TICK_NANOS);
        }
    }

    private static void logReport(ServiceId service, ServerId server, PoolResult result, String observer) {
        LOG.infof(
                "server=%s service=%s state=%s result=%s observer=%s",
                server, service, stateAfter(result), result.label(), observer);
    }

    private static String stateAfter(PoolResult result) {
        if (result == PoolResult.LEAVING) {
            return "leaving";
        }
        return result.isFailure() ? "suspected" : "cleared";
    }

    private ServicePool pool(ServiceId service) {
        return pools.computeIfAbsent(service, this::createPool);
    }

    private ServicePool createPool(ServiceId service) {
        ServerPool serverPool = new ServerPool(zone, random, policy, estimator);
        serverPool.replaceDaemons(peers.self(), zoneDaemons);
        return new ServicePool(service, serverPool);
    }

    /** A submission that is queued or dispatched. */
    private record Entry(Submission submission, ServicePool pool) {}
}
