package org.heatherreach.coordination.balance;

import java.util.Collection;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * Estimates the waits in one pool and decides which requests are refused because they cannot be served in time.
 *
 * <p>Invariant: reads the servers and the requests of the pool, but never changes them; its own state is the mean
 * service time.
 *
 * <p>Confined to one duty thread.
 */
final class AdmissionRule {
    private static final double INITIAL_SERVICE_NANOS = 200e6;
    private static final double SERVICE_TIME_SMOOTHING = 0.05;
    /** A request that takes this many times the mean service time counts as stalled. */
    private static final double STALL_FACTOR = 4;

    private static final long MIN_STALL_NANOS = 1_000_000_000L;

    private final LoadMeasure measure;
    private final Collection<ServerLoad> servers;
    private final WaitingRequests waiting;
    private final Collection<RunningRequest> running;

    private double meanServiceNanos = INITIAL_SERVICE_NANOS;

    /**
     * Creates a rule.
     *
     * @param servers a view of the servers of the pool
     * @param waiting the requests that wait for a server
     * @param running a view of the requests that were dispatched
     */
    AdmissionRule(
            LoadMeasure measure,
            Collection<ServerLoad> servers,
            WaitingRequests waiting,
            Collection<RunningRequest> running) {
        this.measure = Objects.requireNonNull(measure, "measure");
        this.servers = Objects.requireNonNull(servers, "servers");
        this.waiting = Objects.requireNonNull(waiting, "waiting");
        this.running = Objects.requireNonNull(running, "running");
    }

    /** Records how long a server took for a request that succeeded. */
    void recordServiceTime(double tookNanos) {
        meanServiceNanos += SERVICE_TIME_SMOOTHING * (tookNanos - meanServiceNanos);
    }

    /** Returns the time after which a request without an estimate of its own counts as stalled. */
    long stallNanos() {
        return Math.max(MIN_STALL_NANOS, (long) (STALL_FACTOR * meanServiceNanos));
    }

    /** Returns whether, and how, a request is refused that gets no server at once; it must not be among the waiting. */
    Option<RefusalTerms> refusalOf(PoolRequest request, long nowNanos) {
        if (servers.isEmpty()) {
            return Option.some(new RefusalTerms(RefusalReason.NO_SERVER, 0, 0));
        }
        long quietNanos = earliestUseNanos(nowNanos) - nowNanos;
        long waitNanos = quietNanos + expectedWaitNanos(waiting.aheadOf(request));
        long serviceNanos = (long) measure.serviceNanos(request, meanServiceNanos);
        if (quietNanos > 0 && nowNanos + quietNanos + serviceNanos - request.deadlineNanos() > 0) {
            return Option.some(terms(RefusalReason.SERVERS_SHED, quietNanos));
        }
        if (waiting.isFull()) {
            return Option.some(new RefusalTerms(RefusalReason.QUEUE_FULL, 0, waitNanos));
        }
        if (nowNanos + waitNanos + serviceNanos - request.deadlineNanos() > 0
                || waiting.isBackedUp(request, nowNanos)) {
            return Option.some(new RefusalTerms(RefusalReason.DEADLINE_UNREACHABLE, 0, waitNanos));
        }
        return Option.none();
    }

    /** Returns when the first server may get a request again, which is now unless every server has asked for quiet. */
    long earliestUseNanos(long nowNanos) {
        long shortestQuietNanos = servers.stream()
                .mapToLong(load -> Math.max(0, load.quietDeadlineNanos() - nowNanos))
                .min()
                .orElse(0);
        return nowNanos + shortestQuietNanos;
    }

    /** Returns whether a waiting request cannot be served in time if the first server may get one at the given time. */
    boolean isLate(PoolRequest request, long useNanos) {
        long minServiceNanos = (long) (measure.serviceNanos(request, meanServiceNanos) / 2);
        return useNanos + minServiceNanos - request.deadlineNanos() > 0;
    }

    /** Returns the terms of the refusal of a late request; a retry may succeed after the time of quiet. */
    RefusalTerms lateTerms(long quietNanos) {
        return terms(RefusalReason.DEADLINE_UNREACHABLE, quietNanos);
    }

    /** Returns the terms of the refusal of a late request whose caller should return when all that waits is served. */
    RefusalTerms lateTermsAfterQueue(long quietNanos) {
        return new RefusalTerms(
                RefusalReason.DEADLINE_UNREACHABLE,
                TimeUnit.NANOSECONDS.toMillis(quietNanos),
                expectedWaitNanos(waiting.inOrder()));
    }

    private RefusalTerms terms(RefusalReason reason, long quietNanos) {
        return new RefusalTerms(reason, TimeUnit.NANOSECONDS.toMillis(quietNanos), (long) meanServiceNanos);
    }

    private long expectedWaitNanos(Collection<PoolRequest> ahead) {
        return (long) (measure.workAheadNanos(ahead, meanServiceNanos) / Math.max(1, running.size()));
    }
}
