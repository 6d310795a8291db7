package org.heatherreach.protocol.kv;

import java.util.List;

/**
 * Operations that take effect at a single revision, chosen by whether all conditions hold. Immutable, except that
 * values are not copied.
 *
 * @param conditions the conditions
 * @param success the operations if all conditions hold
 * @param failure the operations otherwise
 */
public record Transaction(List<Compare> conditions, List<Operation> success, List<Operation> failure) {
    /** The maximum number of conditions or operations, which is the default limit of etcd. */
    public static final int OPERATION_LIMIT = 128;

    /**
     * Creates a transaction.
     *
     * @throws IllegalArgumentException if it has too many conditions or operations
     */
    public Transaction {
        conditions = List.copyOf(conditions);
        success = List.copyOf(success);
        failure = List.copyOf(failure);
        if (Math.max(conditions.size(), Math.max(success.size(), failure.size())) > OPERATION_LIMIT) {
            throw new IllegalArgumentException(
                    "a transaction has at most " + OPERATION_LIMIT + " conditions or operations");
        }
    }

    /** Returns a transaction without conditions. */
    public static Transaction of(List<Operation> operations) {
        return new Transaction(List.of(), operations, List.of());
    }

    /** Returns whether the transaction may change a key. */
    public boolean writes() {
        return !success.stream().allMatch(Operation.Range.class::isInstance)
                || !failure.stream().allMatch(Operation.Range.class::isInstance);
    }
}
