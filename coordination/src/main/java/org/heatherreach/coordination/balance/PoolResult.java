package org.heatherreach.coordination.balance;

import java.util.Locale;

/**
 * The result of an exchange with a server, as the selection of servers distinguishes it. Safe for use by any thread.
 */
public enum PoolResult {
    /** The server answered. */
    SUCCESS(0),
    /** The server answered with an error. */
    ERROR(1),
    /** The connection broke or the answer was malformed, which also happens to single requests of healthy servers. */
    LOST(0.5),
    /** The server did not answer within the time in which other servers do. */
    STALLED(1),
    /** No connection could be established. */
    UNREACHABLE(1.2),
    /** A server other than the expected one answered at the address. */
    MISDIRECTED(2.5),
    /** The server shed the request because it was full. */
    SHED(0),
    /** The exchange ended for a reason that says nothing about the server. */
    CANCELLED(0),
    /** The server announced that it is about to stop. Only reported between daemons; no exchange ends with it. */
    LEAVING(0);

    private final String label = name().toLowerCase(Locale.ROOT);
    private final double weight;

    PoolResult(double weight) {
        this.weight = weight;
    }

    /** Returns the label used in log lines. */
    public String label() {
        return label;
    }

    /** Returns whether the result counts against the server. */
    public boolean isFailure() {
        return weight > 0;
    }

    /** Returns whether the cause may be the network path between one daemon and the server. */
    boolean mayBePathFailure() {
        return this == UNREACHABLE || this == STALLED;
    }

    /** Returns the weight of the result as evidence against the server; an error answer weighs 1. */
    double weight() {
        return weight;
    }
}
