package org.heatherreach.coordination.balance;

import java.util.Locale;

/** How an exchange with a server ended, as far as the choice of servers is concerned. Safe for use by any thread. */
public enum PoolResult {
    /** The server answered. */
    SUCCESS(0),
    /** The server answered with an error. */
    ERROR(1),
    /** The connection broke or the answer was malformed, which also happens to single requests of sound servers. */
    LOST(0.5),
    /** The server gave no answer in the time in which others do. */
    STALLED(1),
    /** No connection could be established. */
    UNREACHABLE(1.2),
    /** Another server answered at the address. */
    MISDIRECTED(2.5),
    /** The server was full. */
    SHED(0),
    /** The exchange ended for a reason that says nothing about the server. */
    CANCELLED(0);

    private final String label = name().toLowerCase(Locale.ROOT);
    private final double weight;

    PoolResult(double weight) {
        this.weight = weight;
    }

    /** Returns the form for logs. */
    public String label() {
        return label;
    }

    /** Returns whether the result counts against the server. */
    public boolean isFailure() {
        return weight > 0;
    }

    /** Returns whether the cause may lie on the path between one daemon and the server. */
    boolean mayConcernPathOnly() {
        return this == UNREACHABLE || this == STALLED;
    }

    /** Returns how much the result weighs as evidence against the server; an error answer weighs 1. */
    double weight() {
        return weight;
    }
}
