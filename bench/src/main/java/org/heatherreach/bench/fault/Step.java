package org.heatherreach.bench.fault;

/** The columns of the fault matrix. Immutable and safe for use by any thread. */
public enum Step {
    /** A daemon issued the key; nothing was sent with it yet. */
    KEY_ISSUED(Promise.AT_MOST_ONCE, "key issued"),
    /** The intent is about to arrive at a witness. */
    INTENT_SENT(Promise.AT_MOST_ONCE, "intent sent"),
    /** The acknowledgement is about to arrive at the executor. */
    INTENT_ACKNOWLEDGED(Promise.AT_MOST_ONCE, "intent acknowledged"),
    /** The request is about to arrive at a server. */
    DISPATCHED(Promise.AT_MOST_ONCE, "dispatched"),
    /** The server's answer is about to arrive at the executor. */
    BACKEND_ANSWERED(Promise.AT_MOST_ONCE, "backend answered"),
    /** The copy of the outcome is about to arrive at a witness. */
    OUTCOME_COPIED(Promise.AT_MOST_ONCE, "outcome copied"),
    /** The caller's repeated request is about to arrive at another daemon. */
    RESENT(Promise.AT_MOST_ONCE, "resent to another daemon"),
    /** The chunks of a change are in the store; the operator does not know it yet. */
    CHUNKS_WRITTEN(Promise.TABLE, "chunks written"),
    /** The compare-and-swap of the head is about to take effect. */
    HEAD_SWAPPED(Promise.TABLE, "head compared and swapped"),
    /** The new table is about to arrive at a reader. */
    READ(Promise.TABLE, "read by a reader"),
    /** The new table is about to arrive at a peer of a reader. */
    PUSHED(Promise.TABLE, "pushed"),
    /** Every live daemon has adopted the new table. */
    IN_FORCE(Promise.TABLE, "in force");

    private final Promise promise;
    private final String label;

    Step(Promise promise, String label) {
        this.promise = promise;
        this.label = label;
    }

    /** Returns the promise whose world contains the step. */
    public Promise promise() {
        return promise;
    }

    /** Returns the name in the matrix. */
    public String label() {
        return label;
    }
}
