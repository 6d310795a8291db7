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
    IN_FORCE(Promise.TABLE, "in force"),
    /** A report of holdings is about to arrive at the owner. */
    REPORTED(Promise.SLOTS, "report"),
    /** A grant is about to arrive at a daemon. */
    GRANTED(Promise.SLOTS, "grant"),
    /** A recall is about to arrive at a daemon. */
    RECALLED(Promise.SLOTS, "recall"),
    /** A request that has a slot is about to be sent to its server. */
    SLOT_USED(Promise.SLOTS, "dispatch"),
    /** Evidence of traffic is about to arrive at the owner. */
    EVIDENCE_SENT(Promise.FLOOR, "evidence sent"),
    /** A verdict is about to arrive at a daemon. */
    VERDICT_SENT(Promise.FLOOR, "verdict sent"),
    /** A daemon ejects a server. */
    EJECTED(Promise.FLOOR, "server ejected");

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
