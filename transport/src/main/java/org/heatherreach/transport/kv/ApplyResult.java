package org.heatherreach.transport.kv;

import io.vavr.control.Option;

/** The result of applying a {@link TableChange}. Immutable. */
public sealed interface ApplyResult {
    /**
     * The change was accepted.
     *
     * @param version the version of the table that the change created
     */
    record Accepted(long version) implements ApplyResult {}

    /**
     * Another change was accepted first. This change has had no effect and will never have one.
     *
     * @param current the current table; empty if it was deleted
     */
    record Superseded(Option<TableSnapshot> current) implements ApplyResult {}
}
