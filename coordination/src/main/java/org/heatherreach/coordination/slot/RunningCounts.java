package org.heatherreach.coordination.slot;

import org.heatherreach.state.rank.Rank;

/** The number of running requests by rank. Invariant: no count is negative. Confined to the thread of its pool. */
final class RunningCounts {
    private final int[] counts = new int[Rank.values().length];

    void increment(Rank rank) {
        counts[rank.ordinal()]++;
    }

    void decrement(Rank rank) {
        counts[rank.ordinal()]--;
    }

    int of(Rank rank) {
        return counts[rank.ordinal()];
    }

    int total() {
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
