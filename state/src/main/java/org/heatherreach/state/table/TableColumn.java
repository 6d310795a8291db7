package org.heatherreach.state.table;

import java.util.Locale;
import java.util.Optional;

/** The columns of the table in the order of the CSV. Immutable and safe for use by any thread. */
public enum TableColumn {
    /** The name of the row. */
    ROW,
    /**
     * The share of a rank in spare capacity relative to ranks of equal urgency, or of a workspace relative to others.
     */
    WEIGHT(1, 1000),
    /** The share of a service's slots that is reserved for a rank while it has work. */
    GUARANTEE_PERCENT(0, 100),
    /** The number of requests of a rank that one daemon queues per service. */
    QUEUE_LIMIT(1, 1_000_000),
    /** The deadline of a request that states none, counted from its arrival. */
    TIMEOUT_MS(1, 3_600_000),
    /** The share of the live servers that ejections must leave in use. */
    FLOOR_PERCENT(0, 100),
    /** The number of requests that one server runs at a time. */
    SLOTS(1, 10_000),
    /** The number of connections that one server accepts. */
    CONNECTIONS(1, 1_000_000),
    /** The retry budget as a share of the requests of the last 10 s. */
    RETRY_PERCENT(0, 100),
    /** The service of a route. */
    SERVICE,
    /** The rank of requests on a route that state none. */
    RANK,
    /** The number of requests of a workspace that one daemon holds at a time, queued or running. */
    REQUEST_LIMIT(1, 1_000_000);

    private final String label = name().toLowerCase(Locale.ROOT);
    private final boolean numeric;
    private final int min;
    private final int max;

    TableColumn() {
        numeric = false;
        min = 0;
        max = 0;
    }

    TableColumn(int min, int max) {
        numeric = true;
        this.min = min;
        this.max = max;
    }

    /** Returns the name in the header of the CSV. */
    public String label() {
        return label;
    }

    /** Returns whether cells of the column hold a number. */
    public boolean isNumber() {
        return numeric;
    }

    /** Returns the rule for numbers of the column, as worded in messages to operators. */
    public String rule() {
        return "must be a whole number from " + min + " to " + max;
    }

    /** Returns whether the number is in the range of the column. */
    boolean accepts(int value) {
        return value >= min && value <= max;
    }

    /** Finds a column by its label; empty if there is none. */
    public static Optional<TableColumn> find(String label) {
        for (TableColumn column : values()) {
            if (column.label.equals(label)) {
                return Optional.of(column);
            }
        }
        return Optional.empty();
    }
}
