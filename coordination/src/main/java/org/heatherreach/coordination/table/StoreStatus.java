package org.heatherreach.coordination.table;

/** The status of the configuration store as known to a daemon. Immutable and safe for use by any thread. */
public enum StoreStatus {
    /** A reader confirmed the table version with the store within the last 30 s. */
    CURRENT,
    /** A reader reports that the store is unavailable; the table stays in force and no change can be accepted. */
    UNAVAILABLE,
    /** No confirmation by a reader is known from the last 30 s. */
    UNKNOWN
}
