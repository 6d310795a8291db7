package org.heatherreach.coordination.table;

/** Why a daemon refuses new work because its table may be out of date. Immutable and safe for use by any thread. */
public enum IsolationCause {
    /** No message from a peer or answer from the store was received for 7 s. */
    SILENCE,
    /** A live peer has held a larger version for 7 s, which this daemon could not fetch. */
    BEHIND
}
