package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Models what is usual for the servers of a part, and weighs observations by the logarithm of the likelihood ratio of a
 * faulty server to a usual one: positive weights indicate a fault. The baseline mixes two periods: the last second
 * shows a change of the service as a whole, and the last two minutes show how rare the tail of the latency distribution
 * is, for which one second holds too few requests. Confined to one duty thread.
 */
final class LikelihoodModel {
    /** Below this failure ratio a server is not distinguished from one without failures. */
    private static final double MIN_BASELINE_FAILURE_RATIO = 0.003;

    private static final double MAX_BASELINE_FAILURE_RATIO = 0.5;
    private static final double MIN_FAULTY_FAILURE_RATIO = 0.2;
    /** The failure ratio of a usual server may be up to this multiple of the pooled failure ratio. */
    private static final double BASELINE_FAILURE_MARGIN = 1.5;
    /** Without history, one request in 300 is assumed to fail. */
    private static final double PRIOR_FAILURES = 1;

    private static final double PRIOR_REQUESTS = 300;
    /**
     * A latency fault is modeled as a slowdown by a factor of four or eight, which is a shift by two or three buckets.
     */
    private static final int[] FAULT_BUCKET_SHIFTS = {2, 3};

    /** Prevents a single observation in a bucket that was empty so far from deciding alone. */
    private static final double MAX_LATENCY_WEIGHT = 4;

    private static final double MIN_LATENCY_WEIGHT = -2;
    /**
     * A stalled exchange has already been counted as late, so a stall adds only the weight by which it is rarer than a
     * late response. With the weight of a failure, two concurrent long requests on a healthy server with two slots
     * would reach the score limit.
     */
    private static final double MAX_STALL_WEIGHT = 1.75;

    private static final double SMOOTHING_PSEUDO_COUNT = 4;
    private static final double HISTORY_DECAY = 0.998;
    /**
     * The failure history leaves out servers with a higher failure score; otherwise it would learn from the fault to be
     * detected.
     */
    private static final double MAX_FAILURE_SCORE_IN_HISTORY = 1;

    private final double[] latencyHistory = new double[LatencyBuckets.COUNT];
    private final double[] latencyWeights = new double[LatencyBuckets.COUNT];
    private double latencyHistoryTotal;
    private double historyRequests;
    private double historyFailures;
    private double historyTicks;
    private double failureWeight;
    private double successWeight;
    private double baselineFailureRatio;

    /** Updates the baseline and the weights from the recent counts of the peers. */
    void update(List<ServerRecord> peers) {
        updateHistory(peers);
        updateLatencyWeights(peers);
        updateFailureWeights(peers);
    }

    private void updateHistory(List<ServerRecord> peers) {
        for (int i = 0; i < latencyHistory.length; i++) {
            latencyHistory[i] *= HISTORY_DECAY;
        }
        historyRequests *= HISTORY_DECAY;
        historyFailures *= HISTORY_DECAY;
        historyTicks = historyTicks * HISTORY_DECAY + 1;
        for (ServerRecord record : peers) {
            // Includes slow servers: without them the tail of the history would be missing and healthy servers would
            // look slow.
            record.addRecentLatencyTo(latencyHistory, 1 - ServerRecord.RECENT_DECAY);
            if (record.failureScore(0) <= MAX_FAILURE_SCORE_IN_HISTORY) {
                historyRequests += record.recentRequests() * (1 - ServerRecord.RECENT_DECAY);
                historyFailures += record.recentFailures() * (1 - ServerRecord.RECENT_DECAY);
            }
        }
        latencyHistoryTotal = Arrays.stream(latencyHistory).sum();
    }

    private void updateLatencyWeights(List<ServerRecord> peers) {
        double[] recent = new double[LatencyBuckets.COUNT];
        double recentTotal = 0;
        for (ServerRecord record : trimLatencyExtremes(peers)) {
            recentTotal += record.addRecentLatencyTo(recent, 1);
        }
        if (latencyHistoryTotal < SMOOTHING_PSEUDO_COUNT) {
            Arrays.fill(latencyWeights, 0);
            return;
        }
        double[] baseline = new double[LatencyBuckets.COUNT];
        double historyShare = recentTotal < 1 ? 1 : 0.5;
        double pseudoCountPerBucket = SMOOTHING_PSEUDO_COUNT / LatencyBuckets.COUNT;
        for (int i = 0; i < baseline.length; i++) {
            baseline[i] = historyShare
                    * (latencyHistory[i] + pseudoCountPerBucket)
                    / (latencyHistoryTotal + SMOOTHING_PSEUDO_COUNT);
            if (recentTotal >= 1) {
                baseline[i] += (1 - historyShare) * recent[i] / recentTotal;
            }
        }
        double[] faultyDistribution = new double[LatencyBuckets.COUNT];
        for (int shift : FAULT_BUCKET_SHIFTS) {
            for (int i = 0; i < baseline.length; i++) {
                faultyDistribution[Math.min(baseline.length - 1, i + shift)] +=
                        baseline[i] / FAULT_BUCKET_SHIFTS.length;
            }
        }
        double minProbability = pseudoCountPerBucket / (latencyHistoryTotal + SMOOTHING_PSEUDO_COUNT);
        for (int i = 0; i < baseline.length; i++) {
            double weight = Math.log((faultyDistribution[i] + minProbability) / (baseline[i] + minProbability));
            latencyWeights[i] = Math.max(MIN_LATENCY_WEIGHT, Math.min(MAX_LATENCY_WEIGHT, weight));
        }
    }

    /** Leaves out the fastest and the slowest fifth of the peers. Of fewer than five peers, keeps the faster half. */
    private static List<ServerRecord> trimLatencyExtremes(List<ServerRecord> peers) {
        List<ServerRecord> sorted = new ArrayList<>(peers);
        sorted.removeIf(record -> record.recentLatencyTotal() == 0);
        for (ServerRecord record : sorted) {
            record.updateMeanLatencyBucket();
        }
        sorted.sort(Comparator.comparingDouble(ServerRecord::meanLatencyBucket));
        int size = sorted.size();
        return size < 5 ? sorted.subList(0, (size + 1) / 2) : sorted.subList(size / 5, size - size / 5);
    }

    private void updateFailureWeights(List<ServerRecord> peers) {
        List<ServerRecord> sorted = new ArrayList<>(peers);
        sorted.sort(Comparator.comparingDouble(ServerRecord::recentFailures));
        double requests = 0;
        double failures = 0;
        // Leaves out the fifth of the servers with the most failures, so that one faulty server does not raise the
        // baseline.
        for (ServerRecord record : sorted.subList(0, sorted.size() - (sorted.size() + 4) / 5)) {
            requests += record.recentRequests();
            failures += record.recentFailures();
        }
        double recentRatio = requests < 1 ? 0 : failures / requests;
        double historyRatio = (historyFailures + PRIOR_FAILURES) / (historyRequests + PRIOR_REQUESTS);
        double baselineRatio = BASELINE_FAILURE_MARGIN * Math.max(recentRatio, historyRatio);
        baselineFailureRatio =
                Math.max(MIN_BASELINE_FAILURE_RATIO, Math.min(MAX_BASELINE_FAILURE_RATIO, baselineRatio));
        double faultyRatio = Math.max(MIN_FAULTY_FAILURE_RATIO, Math.min(0.9, 3 * baselineFailureRatio));
        failureWeight = Math.log(faultyRatio / baselineFailureRatio);
        successWeight = Math.log((1 - faultyRatio) / (1 - baselineFailureRatio));
    }

    /** Returns the mean number of requests per tick to peers whose failure score is low. */
    double requestsPerTick() {
        return historyRequests / Math.max(1, historyTicks);
    }

    double baselineFailureRatio() {
        return baselineFailureRatio;
    }

    double failureLogRatio(ServerEvidence evidence) {
        int failures = Math.min(evidence.requests(), evidence.failures());
        int stalled = Math.min(failures, evidence.stalled());
        return (failures - stalled) * failureWeight
                + stalled * Math.min(MAX_STALL_WEIGHT, failureWeight)
                + (evidence.requests() - failures) * successWeight;
    }

    double probeLogRatio(boolean successful) {
        return successful ? successWeight : failureWeight;
    }

    double latencyLogRatio(ServerEvidence evidence) {
        double sum = 0;
        for (int i = 0; i < latencyWeights.length; i++) {
            sum += evidence.latencyCount(i) * latencyWeights[i];
        }
        return sum;
    }
}
