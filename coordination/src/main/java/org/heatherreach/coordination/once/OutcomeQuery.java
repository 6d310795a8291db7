package org.heatherreach.coordination.once;

import java.util.Objects;

/**
 * Asks the executor or a witness about a key. Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param bar whether the receiver is to bar the key if nothing was dispatched, as far as it knows
 */
public record OutcomeQuery(ExecutionKey key, boolean bar) {
    /** Creates a query. */
    public OutcomeQuery {
        Objects.requireNonNull(key, "key");
    }
}
