package org.heatherreach.coordination.table;

/** Why a daemon refuses new work because its table may be out of date. Immutable and safe for use by any thread. */
public enum IsolationCause {
    /** Neither a peer nor the store was heard for 7 s. */
    SILENCE,
    /** A live peer has held a larger version for 7 s and this daemon could not fetch it. */
    BEHIND
}
