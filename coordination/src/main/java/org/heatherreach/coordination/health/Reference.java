package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * What is usual for the servers of a part now, and how much one observation speaks for a fault, as logarithm of a
 * likelihood ratio. The usual latency is pooled over the servers around the median, so that neither a few slow nor a few
 * fast servers shift it. Rebuilt each tick.
 */
final class Reference {
    /** Below this failure ratio a server is not distinguished from one without failures. */
    private static final double MIN_USUAL_FAILURE_RATIO = 0.01;

    private static final double MAX_USUAL_FAILURE_RATIO = 0.5;
    private static final double MIN_FAULTY_FAILURE_RATIO = 0.2;
    /** A latency fault is taken as a slow-down by four or by eight, which are two or three buckets. */
    private static final int[] SHIFTS = {2, 3};

    /** Keeps one observation in a bucket that was empty so far from deciding alone. */
    private static final double MAX_LATENCY_WEIGHT = 2.5;

    private static final double MIN_LATENCY_WEIGHT = -2.0;
    private static final double SMOOTHING = 4;

    private final double[] latencyWeights = new double[LatencyBuckets.COUNT];
    private double failureWeight;
    private double successWeight;
    private double usualFailureRatio;

    /** Takes the recent counts of the servers that count as peers. */
    void rebuild(List<ServerRecord> peers) {
        rebuildLatency(peers);
        rebuildFailures(peers);
    }

    private void rebuildLatency(List<ServerRecord> peers) {
        List<ServerRecord> sorted = new ArrayList<>(peers);
        sorted.removeIf(record -> record.recentLatencyMass() < 1);
        for (ServerRecord record : sorted) {
            record.updateMeanBucket();
        }
        sorted.sort(Comparator.comparingDouble(ServerRecord::meanBucket));
        int from = sorted.size() / 5;
        int to = Math.max(Math.min(sorted.size(), from + 1), sorted.size() * 3 / 5);
        double[] usual = new double[LatencyBuckets.COUNT];
        double mass = 0;
        for (ServerRecord record : sorted.subList(from, to)) {
            mass += record.addRecentLatency(usual);
        }
        if (mass < SMOOTHING) {
            Arrays.fill(latencyWeights, 0);
            return;
        }
        double[] faulty = new double[LatencyBuckets.COUNT];
        for (int shift : SHIFTS) {
            for (int i = 0; i < usual.length; i++) {
                faulty[Math.min(usual.length - 1, i + shift)] += usual[i] / SHIFTS.length;
            }
        }
        double uniform = SMOOTHING / LatencyBuckets.COUNT;
        for (int i = 0; i < usual.length; i++) {
            double weight = Math.log((faulty[i] + uniform) / (usual[i] + uniform));
            latencyWeights[i] = Math.max(MIN_LATENCY_WEIGHT, Math.min(MAX_LATENCY_WEIGHT, weight));
        }
    }

    private void rebuildFailures(List<ServerRecord> peers) {
        double[] ratios = peers.stream()
                .filter(record -> record.recentRequests() >= 1)
                .mapToDouble(ServerRecord::recentFailureRatio)
                .sorted()
                .toArray();
        double median = ratios.length == 0 ? 0 : ratios[(ratios.length - 1) / 2];
        usualFailureRatio = Math.max(MIN_USUAL_FAILURE_RATIO, Math.min(MAX_USUAL_FAILURE_RATIO, 2 * median));
        double faulty = Math.max(MIN_FAULTY_FAILURE_RATIO, Math.min(0.9, 3 * usualFailureRatio));
        failureWeight = Math.log(faulty / usualFailureRatio);
        successWeight = Math.log((1 - faulty) / (1 - usualFailureRatio));
    }

    double usualFailureRatio() {
        return usualFailureRatio;
    }

    double weighFailures(ServerEvidence evidence) {
        int failures = Math.min(evidence.requests(), evidence.failures());
        return failures * failureWeight + (evidence.requests() - failures) * successWeight;
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
