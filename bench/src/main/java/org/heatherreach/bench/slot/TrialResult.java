package org.heatherreach.bench.slot;

import org.HdrHistogram.Histogram;
import org.heatherreach.state.rank.Rank;

/** Counts of one trial within its measured window, by the ordinal of the rank. Confined to one thread. */
final class TrialResult {
    private static final int RANKS = Rank.values().length;

    final long[] offered = new long[RANKS];
    final long[] served = new long[RANKS];
    final long[] attempts = new long[RANKS];
    final long[] dispatched = new long[RANKS];
    final long[] foundLeased = new long[RANKS];
    final double[] busyNanos = new double[RANKS];
    final Histogram[] latencies = new Histogram[RANKS];
    final Histogram[] added = new Histogram[RANKS];
    long reports;
    long grants;
    long recalls;
    long messageBytes;
    long sheds;
    double windowNanos;

    TrialResult() {
        for (int i = 0; i < RANKS; i++) {
            latencies[i] = new Histogram(3);
            added[i] = new Histogram(3);
        }
    }
}
