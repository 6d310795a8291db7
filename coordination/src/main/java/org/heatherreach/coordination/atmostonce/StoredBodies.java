package org.heatherreach.coordination.atmostonce;

/**
 * Limits the bytes of the response bodies that records hold.
 *
 * <p>Invariant: the bodies of the answers that were stored and not released fit into the limit. Confined to the thread
 * of its records.
 */
final class StoredBodies {
    private final long limitBytes;
    private long storedBytes;
    private long droppedBodies;

    StoredBodies(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns the answer as it is to be recorded: without its body if that would exceed the limit. */
    RecordedAnswer store(RecordedAnswer answer) {
        RecordedAnswer stored = answer;
        if (storedBytes + answer.body().length > limitBytes) {
            stored = answer.withoutBody();
            droppedBodies++;
        }
        storedBytes += stored.body().length;
        return stored;
    }

    /** Frees the bytes of an answer that was stored; null has no effect. */
    void release(RecordedAnswer stored) {
        if (stored != null) {
            storedBytes -= stored.body().length;
        }
    }

    long droppedBodies() {
        return droppedBodies;
    }
}
