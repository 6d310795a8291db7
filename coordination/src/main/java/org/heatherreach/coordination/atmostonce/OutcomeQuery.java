package org.heatherreach.coordination.atmostonce;

import java.util.Objects;

/**
 * Queries the executor or a witness for the outcome of a key. Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param bar whether the receiver bars the key if it knows of no dispatch
 */
public record OutcomeQuery(ExecutionKey key, boolean bar) {
    /** Creates a query. */
    public OutcomeQuery {
        Objects.requireNonNull(key, "key");
    }
}
