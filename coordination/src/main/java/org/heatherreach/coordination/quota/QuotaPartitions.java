package org.heatherreach.coordination.quota;

import net.openhft.hashing.LongHashFunction;
import org.heatherreach.state.id.WorkspaceId;

/**
 * Maps workspaces to partitions by a hash of their names, which is the same at all daemons. Immutable and safe for use
 * by any thread.
 *
 * @param count the number of partitions
 */
public record QuotaPartitions(int count) {
    /** The largest number of partitions. */
    public static final int MAX_COUNT = 256;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /**
     * Creates the mapping.
     *
     * @throws IllegalArgumentException if the number is not from 1 to {@link #MAX_COUNT}
     */
    public QuotaPartitions {
        if (count < 1 || count > MAX_COUNT) {
            throw new IllegalArgumentException("the number of partitions must be from 1 to " + MAX_COUNT);
        }
    }

    /** Returns the partition of a workspace, from 0 to the count less 1. */
    public int of(WorkspaceId workspace) {
        return (int) Long.remainderUnsigned(HASH.hashChars(workspace.value()), count);
    }
}
