package org.heatherreach.state.table;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/** The kinds of rows in the order of the CSV, each with its required and optional columns. Immutable. */
public enum RowKind {
    /** {@code service:NAME}: the limits of a service. */
    SERVICE(
            "service:",
            EnumSet.of(
                    TableColumn.FLOOR_PERCENT, TableColumn.SLOTS, TableColumn.CONNECTIONS, TableColumn.RETRY_PERCENT),
            EnumSet.noneOf(TableColumn.class)),
    /** {@code rank:NAME}: the limits of a rank at every service. */
    RANK(
            "rank:",
            EnumSet.of(
                    TableColumn.WEIGHT, TableColumn.GUARANTEE_PERCENT, TableColumn.QUEUE_LIMIT, TableColumn.TIMEOUT_MS),
            EnumSet.noneOf(TableColumn.class)),
    /** {@code rank:NAME@SERVICE}: cells that replace those of the rank at one service. */
    RANK_AT_SERVICE(
            "rank:",
            EnumSet.noneOf(TableColumn.class),
            EnumSet.of(
                    TableColumn.WEIGHT,
                    TableColumn.GUARANTEE_PERCENT,
                    TableColumn.QUEUE_LIMIT,
                    TableColumn.TIMEOUT_MS)),
    /** {@code route:/PREFIX}: maps paths to a service. */
    ROUTE("route:", EnumSet.of(TableColumn.SERVICE), EnumSet.of(TableColumn.RANK)),
    /** {@code workspace:NAME}: the share and the limit of a workspace. */
    WORKSPACE(
            "workspace:", EnumSet.of(TableColumn.WEIGHT, TableColumn.REQUEST_LIMIT), EnumSet.noneOf(TableColumn.class));

    private final String prefix;
    private final Set<TableColumn> required;
    private final Set<TableColumn> optional;

    RowKind(String prefix, Set<TableColumn> required, Set<TableColumn> optional) {
        this.prefix = prefix;
        this.required = Collections.unmodifiableSet(required);
        this.optional = Collections.unmodifiableSet(optional);
    }

    /** Returns the prefix of the names of rows of this kind. */
    public String prefix() {
        return prefix;
    }

    /** Returns the columns in which the row must have a value. */
    public Set<TableColumn> required() {
        return required;
    }

    /** Returns the columns in which the row may have a value. */
    public Set<TableColumn> optional() {
        return optional;
    }

    /** Returns whether the row may have a value in the column. */
    boolean allows(TableColumn column) {
        return column == TableColumn.ROW || required.contains(column) || optional.contains(column);
    }

    /** Returns the kind of the row with the given name, or null if the name has no known prefix. */
    static RowKind of(String rowName) {
        for (RowKind kind : values()) {
            if (rowName.startsWith(kind.prefix)) {
                return kind == RANK && rowName.indexOf('@') >= 0 ? RANK_AT_SERVICE : kind;
            }
        }
        return null;
    }
}
