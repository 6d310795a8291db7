package org.heatherreach.transport.http;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Bounds the memory that request bodies take which are read while their requests wait, over all connections.
 *
 * <p>Invariant: a listener is called once for each time that it waited. The bytes that are held exceed the budget at
 * most by one read of each connection that was told to go on.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class ReadAheadBudget {
    /** What one read can bring, so that no more connections go on than there is room for. */
    private static final int READ_BYTES = 16 * 1024;

    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private long freeBytes;

    ReadAheadBudget(long totalBytes) {
        this.freeBytes = totalBytes;
    }

    /** Counts bytes that were read. */
    synchronized void take(long bytes) {
        freeBytes -= bytes;
    }

    /** Counts bytes that are no longer held, and tells those that wait to go on. */
    void release(long bytes) {
        synchronized (this) {
            freeBytes += bytes;
        }
        wakeUp();
    }

    /** Returns whether there is room for another read. If not, the listener is called once there is. */
    synchronized boolean hasRoom(Runnable listener) {
        if (freeBytes >= READ_BYTES) {
            return true;
        }
        waiting.add(Objects.requireNonNull(listener, "listener"));
        return false;
    }

    /** Removes a listener that waits. */
    synchronized void remove(Runnable listener) {
        waiting.remove(listener);
    }

    private void wakeUp() {
        List<Runnable> woken = new ArrayList<>();
        synchronized (this) {
            Iterator<Runnable> next = waiting.iterator();
            for (long room = freeBytes / READ_BYTES; room > 0 && next.hasNext(); room--) {
                woken.add(next.next());
                next.remove();
            }
        }
        woken.forEach(Runnable::run);
    }
}
