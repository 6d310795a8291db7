package org.heatherreach.coordination.admission;

import java.util.Collection;
import java.util.Collections;
import java.util.TreeMap;

/**
 * The queue of one rank, ordered by deadline and then by arrival. Confined to one thread.
 *
 * @param <T> the queued element
 */
public final class DeadlineQueue<T> {
    private final TreeMap<Key, T> elements = new TreeMap<>();
    private long nextArrival;

    /**
     * Identifies a queued element.
     *
     * @param deadlineNanos the deadline of the element
     * @param arrival the position in the order of arrival, which decides among equal deadlines
     */
    public record Key(long deadlineNanos, long arrival) implements Comparable<Key> {
        /** Orders by deadline and then by arrival. */
        @Override
        public int compareTo(Key other) {
            int byDeadline = Long.compare(deadlineNanos - other.deadlineNanos, 0);
            return byDeadline != 0 ? byDeadline : Long.compare(arrival, other.arrival);
        }
    }

    /** Adds an element and returns the key to remove it by. */
    public Key add(T element, long deadlineNanos) {
        Key key = new Key(deadlineNanos, nextArrival++);
        elements.put(key, element);
        return key;
    }

    /** Removes an element; has no effect if it is not queued. */
    public void remove(Key key) {
        elements.remove(key);
    }

    /** Returns the element with the earliest deadline, or null if the queue is empty. */
    public T first() {
        return elements.isEmpty() ? null : elements.firstEntry().getValue();
    }

    /** Returns a read-only view of the elements in the order of the queue. */
    public Collection<T> elements() {
        return Collections.unmodifiableCollection(elements.values());
    }

    /** Returns the number of queued elements. */
    public int size() {
        return elements.size();
    }

    /** Returns whether the queue is empty. */
    public boolean isEmpty() {
        return elements.isEmpty();
    }

    /**
     * Estimates how many elements have an earlier deadline. The estimate assumes that deadlines are evenly distributed
     * between the first and the last one, so that a refusal does not iterate over the queue.
     */
    public int estimateAheadOf(long deadlineNanos) {
        if (elements.isEmpty()) {
            return 0;
        }
        long firstNanos = elements.firstKey().deadlineNanos();
        long lastNanos = elements.lastKey().deadlineNanos();
        if (deadlineNanos - lastNanos >= 0) {
            return elements.size();
        }
        if (deadlineNanos - firstNanos < 0) {
            return 0;
        }
        return (int) ((double) (deadlineNanos - firstNanos) / (lastNanos - firstNanos) * elements.size());
    }
}
