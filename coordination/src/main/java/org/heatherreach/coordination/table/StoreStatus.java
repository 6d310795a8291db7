package org.heatherreach.coordination.table;

/** What a daemon knows of the configuration store. Immutable and safe for use by any thread. */
public enum StoreStatus {
    /** A reader saw the store current within the last 30 s. */
    CURRENT,
    /** A reader reports the store unavailable; the table stays in force and no change can be accepted. */
    UNAVAILABLE,
    /** No reader was heard of within the last 30 s. */
    UNKNOWN
}
