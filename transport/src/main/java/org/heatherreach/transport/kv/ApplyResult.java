package org.heatherreach.transport.kv;

import io.vavr.control.Option;

/** What became of a change. Immutable. */
public sealed interface ApplyResult {
    /**
     * The change was accepted.
     *
     * @param version the version of the table that it brought
     */
    record Accepted(long version) implements ApplyResult {}

    /**
     * Another change was accepted first. This one had no effect and never will.
     *
     * @param current the table now; empty if it was deleted
     */
    record Superseded(Option<TableSnapshot> current) implements ApplyResult {}
}
