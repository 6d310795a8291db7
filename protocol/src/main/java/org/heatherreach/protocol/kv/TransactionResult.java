package org.heatherreach.protocol.kv;

import java.util.List;

/**
 * The result of a transaction. Immutable.
 *
 * @param revision the revision of the store after the transaction
 * @param succeeded whether all conditions held
 * @param steps for each operation the entries that it read, empty for an operation that writes
 */
public record TransactionResult(long revision, boolean succeeded, List<List<KeyValue>> steps) {
    /** Creates a result. */
    public TransactionResult {
        steps = List.copyOf(steps);
    }
}
