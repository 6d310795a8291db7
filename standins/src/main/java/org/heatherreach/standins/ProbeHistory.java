package org.heatherreach.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Recent load samples, from which lagging health and load endpoints answer. Safe for use by any thread. */
final class ProbeHistory {
    private static final int LIMIT = 10_000;
    private static final Sample IDLE = new Sample(Long.MIN_VALUE, 0, 0, false);

    private final Deque<Sample> samples = new ArrayDeque<>();

    synchronized void add(long nowNanos, int inUse, int queued, boolean draining) {
        if (samples.size() == LIMIT) {
            samples.removeFirst();
        }
        samples.addLast(new Sample(nowNanos, inUse, queued, draining));
    }

    /** Returns the newest sample that is not newer than the given time. */
    synchronized Sample at(long timeNanos) {
        for (Iterator<Sample> newestFirst = samples.descendingIterator(); newestFirst.hasNext(); ) {
            Sample sample = newestFirst.next();
            if (sample.timeNanos() - timeNanos <= 0) {
                return sample;
            }
        }
        return IDLE;
    }

    record Sample(long timeNanos, int inUse, int queued, boolean draining) {}
}
