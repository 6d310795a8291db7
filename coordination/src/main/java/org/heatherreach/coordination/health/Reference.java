package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * What is usual for the servers of a part, and how much one observation speaks for a fault, as logarithm of a likelihood
 * ratio. Two memories are mixed: the last second shows a change of the service as a whole, and the last two minutes show
 * how rare the tail of the distribution is, for which a second holds too few requests. Confined to one duty thread.
 */
final class Reference {
    /** Below this failure ratio a server is not distinguished from one without failures. */
    private static final double MIN_USUAL_FAILURE_RATIO = 0.003;

    private static final double MAX_USUAL_FAILURE_RATIO = 0.5;
    private static final double MIN_FAULTY_FAILURE_RATIO = 0.2;
    /** Servers count as usual up to this multiple of the pooled failure ratio. */
    private static final double FAILURE_MARGIN = 1.5;
    /** Without history one request in 300 is taken to fail. */
    private static final double PRIOR_FAILURES = 1;

    private static final double PRIOR_REQUESTS = 300;
    /** A latency fault is taken as a slow-down by four or by eight, which are two or three buckets. */
    private static final int[] SHIFTS = {2, 3};

    /** Keeps one observation in a bucket that was empty so far from deciding alone. */
    private static final double MAX_LATENCY_WEIGHT = 4;

    private static final double MIN_LATENCY_WEIGHT = -2;
    /**
     * A stalled exchange has been counted as late before, so it adds only what a stall is rarer than a late answer. With
     * the weight of a failure, two long requests at once on a healthy server of two slots reach the limit.
     */
    private static final double STALL_WEIGHT = 1.75;

    private static final double SMOOTHING = 4;
    private static final double HISTORY_DECAY = 0.998;
    /** The history of failures leaves out servers with a higher score, or it learns from the fault to be found. */
    private static final double MAX_HISTORY_SCORE = 1;

    private final double[] history = new double[LatencyBuckets.COUNT];
    private final double[] latencyWeights = new double[LatencyBuckets.COUNT];
    private double historyMass;
    private double historyRequests;
    private double historyFailures;
    private double historyTicks;
    private double failureWeight;
    private double successWeight;
    private double usualFailureRatio;

    /** Takes the recent counts of the servers that count as peers. */
    void rebuild(List<ServerRecord> peers) {
        remember(peers);
        rebuildLatency(peers);
        rebuildFailures(peers);
    }

    private void remember(List<ServerRecord> peers) {
        for (int i = 0; i < history.length; i++) {
            history[i] *= HISTORY_DECAY;
        }
        historyRequests *= HISTORY_DECAY;
        historyFailures *= HISTORY_DECAY;
        historyTicks = historyTicks * HISTORY_DECAY + 1;
        for (ServerRecord record : peers) {
            // Leaving out slow servers would cut the tail out of the usual latency, so that healthy ones look slow.
            record.addRecentLatency(history, 1 - ServerRecord.RECENT_DECAY);
            if (record.failureScore(0) <= MAX_HISTORY_SCORE) {
                historyRequests += record.recentRequests() * (1 - ServerRecord.RECENT_DECAY);
                historyFailures += record.recentFailures() * (1 - ServerRecord.RECENT_DECAY);
            }
        }
        historyMass = Arrays.stream(history).sum();
    }

    private void rebuildLatency(List<ServerRecord> peers) {
        double[] recent = new double[LatencyBuckets.COUNT];
        double mass = 0;
        for (ServerRecord record : middle(peers)) {
            mass += record.addRecentLatency(recent, 1);
        }
        if (historyMass < SMOOTHING) {
            Arrays.fill(latencyWeights, 0);
            return;
        }
        double[] usual = new double[LatencyBuckets.COUNT];
        double historyShare = mass < 1 ? 1 : 0.5;
        double uniform = SMOOTHING / LatencyBuckets.COUNT;
        for (int i = 0; i < usual.length; i++) {
            usual[i] = historyShare * (history[i] + uniform) / (historyMass + SMOOTHING);
            if (mass >= 1) {
                usual[i] += (1 - historyShare) * recent[i] / mass;
            }
        }
        double[] faulty = new double[LatencyBuckets.COUNT];
        for (int shift : SHIFTS) {
            for (int i = 0; i < usual.length; i++) {
                faulty[Math.min(usual.length - 1, i + shift)] += usual[i] / SHIFTS.length;
            }
        }
        double least = uniform / (historyMass + SMOOTHING);
        for (int i = 0; i < usual.length; i++) {
            double weight = Math.log((faulty[i] + least) / (usual[i] + least));
            latencyWeights[i] = Math.max(MIN_LATENCY_WEIGHT, Math.min(MAX_LATENCY_WEIGHT, weight));
        }
    }

    /** Leaves out the fastest and the slowest fifth; of few servers it takes the faster half. */
    private static List<ServerRecord> middle(List<ServerRecord> peers) {
        List<ServerRecord> sorted = new ArrayList<>(peers);
        sorted.removeIf(record -> record.recentLatencyMass() == 0);
        for (ServerRecord record : sorted) {
            record.updateMeanBucket();
        }
        sorted.sort(Comparator.comparingDouble(ServerRecord::meanBucket));
        int size = sorted.size();
        return size < 5 ? sorted.subList(0, (size + 1) / 2) : sorted.subList(size / 5, size - size / 5);
    }

    private void rebuildFailures(List<ServerRecord> peers) {
        List<ServerRecord> sorted = new ArrayList<>(peers);
        sorted.sort(Comparator.comparingDouble(ServerRecord::recentFailures));
        double requests = 0;
        double failures = 0;
        // Leaves out the fifth with most failures, so that a single faulty server does not raise the limit.
        for (ServerRecord record : sorted.subList(0, sorted.size() - (sorted.size() + 4) / 5)) {
            requests += record.recentRequests();
            failures += record.recentFailures();
        }
        double recentRatio = requests < 1 ? 0 : failures / requests;
        double historyRatio = (historyFailures + PRIOR_FAILURES) / (historyRequests + PRIOR_REQUESTS);
        double usual = FAILURE_MARGIN * Math.max(recentRatio, historyRatio);
        usualFailureRatio = Math.max(MIN_USUAL_FAILURE_RATIO, Math.min(MAX_USUAL_FAILURE_RATIO, usual));
        double faulty = Math.max(MIN_FAULTY_FAILURE_RATIO, Math.min(0.9, 3 * usualFailureRatio));
        failureWeight = Math.log(faulty / usualFailureRatio);
        successWeight = Math.log((1 - faulty) / (1 - usualFailureRatio));
    }

    /** Returns the mean number of requests of unsuspected servers in a tick. */
    double requestsPerTick() {
        return historyRequests / Math.max(1, historyTicks);
    }

    double usualFailureRatio() {
        return usualFailureRatio;
    }

    double weighFailures(ServerEvidence evidence) {
        int failures = Math.min(evidence.requests(), evidence.failures());
        int stalled = Math.min(failures, evidence.stalled());
        return (failures - stalled) * failureWeight
                + stalled * Math.min(STALL_WEIGHT, failureWeight)
                + (evidence.requests() - failures) * successWeight;
    }

    double weighProbe(boolean successful) {
        return successful ? successWeight : failureWeight;
    }

    double weighLatencies(ServerEvidence evidence) {
        double sum = 0;
        for (int i = 0; i < latencyWeights.length; i++) {
            sum += evidence.latencyCount(i) * latencyWeights[i];
        }
        return sum;
    }
}
