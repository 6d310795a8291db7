package org.heatherreach.coordination.balance;

import java.util.Locale;

/** How a request was dispatched in relation to the order by priority and deadline. */
public enum DispatchOrder {
    /** In that order. */
    USUAL,
    /** Before more urgent requests, or earlier ones, since its class or workspace was served too little. */
    RAISED,
    /** After later requests of other workspaces, since its own used more than its share of the slots. */
    DEFERRED;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the label used in log lines. */
    public String label() {
        return label;
    }
}
