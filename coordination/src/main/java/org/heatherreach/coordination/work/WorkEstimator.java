package org.heatherreach.coordination.work;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

import org.heatherreach.state.id.ServiceId;

/**
 * Learns the work of requests from those that completed.
 *
 * <p>Each request counts for its key, for the more general keys and for its service; an estimate uses the most special
 * key with enough samples. Invariants: there are at most {@link #MAX_KEYS} distributions, of which those that were not
 * used for the longest time are dropped; the error of the keys is measured with estimates that were made before the
 * request ran.
 *
 * <p>Confined to one duty thread.
 */
public final class WorkEstimator {
    /** Bounds the memory to less than 1 MB. */
    static final int MAX_KEYS = 2000;

    private final Map<ServiceId, ServiceWork> services = new HashMap<>();
    private boolean frozen;
    /** In the order of their last use. */
    private final Map<WorkKey, WorkDistribution> distributions = new LinkedHashMap<>(64, 0.75f, true);

    /** Returns what is expected of a request that is about to be submitted. */
    public WorkEstimate estimate(WorkKey key, long nowNanos) {
        return estimate(key, nowNanos, distributions::get);
    }

    /** Returns the same as {@link #estimate} but does not count as a use of the distributions. */
    public WorkEstimate peek(WorkKey key, long nowNanos) {
        return estimate(key, nowNanos, this::peekDistribution);
    }

    private WorkEstimate estimate(WorkKey key, long nowNanos, Function<WorkKey, WorkDistribution> lookup) {
        ServiceWork service = services.get(key.service());
        if (service == null || !service.distribution.isReliable(nowNanos)) {
            return new WorkEstimate(key, null, null, 0);
        }
        return new WorkEstimate(key, mostSpecial(key, nowNanos, lookup), service.distribution, service.errors.trust());
    }

    /**
     * Records the work of a request that completed.
     *
     * @param estimate the estimate that was made for the request
     * @param workNanos the time that it took, divided by the slowness of its server
     */
    public void record(WorkEstimate estimate, double workNanos, long nowNanos) {
        WorkKey key = estimate.key();
        if (key == null) {
            return;
        }
        ServiceWork service = services.computeIfAbsent(key.service(), id -> new ServiceWork(nowNanos));
        if (estimate.isOfKey()) {
            service.errors.record(estimate, Math.log(Math.max(1, workNanos)));
        }
        if (frozen) {
            return;
        }
        service.distribution.record(workNanos, nowNanos);
        while (key != null) {
            distributions
                    .computeIfAbsent(key, absent -> new WorkDistribution(nowNanos))
                    .record(workNanos, nowNanos);
            key = key.parent().getOrNull();
        }
        dropLeastRecentlyUsed();
    }

    private void dropLeastRecentlyUsed() {
        Iterator<WorkDistribution> oldest = distributions.values().iterator();
        while (keyCount() > MAX_KEYS && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Stops learning, while errors are still measured; for tests of estimates that stay wrong. */
    public void freeze() {
        frozen = true;
    }

    /** Returns the number of distributions. */
    public int keyCount() {
        return distributions.size() + services.size();
    }

    /**
     * Returns the mean error of the estimates by key, as the absolute logarithm of the ratio of the work to its estimate,
     * over the services.
     */
    public double meanError() {
        return services.values().stream()
                .mapToDouble(service -> service.errors.keyError())
                .average()
                .orElse(0);
    }

    /** Returns a distribution without changing the order of use, which only an iteration keeps. */
    private WorkDistribution peekDistribution(WorkKey key) {
        return distributions.entrySet().stream()
                .filter(entry -> entry.getKey().equals(key))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }

    private static WorkDistribution mostSpecial(
            WorkKey key, long nowNanos, Function<WorkKey, WorkDistribution> lookup) {
        WorkKey candidate = key;
        while (candidate != null) {
            WorkDistribution distribution = lookup.apply(candidate);
            if (distribution != null && distribution.isReliable(nowNanos)) {
                return distribution;
            }
            candidate = candidate.parent().getOrNull();
        }
        return null;
    }

    /** The distribution of a service and the errors of the estimates by key. */
    private static final class ServiceWork {
        private final WorkDistribution distribution;
        private final EstimateErrors errors = new EstimateErrors();

        private ServiceWork(long nowNanos) {
            this.distribution = new WorkDistribution(nowNanos);
        }
    }
}
