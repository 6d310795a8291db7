package org.heatherreach.state.table;

import java.util.Objects;

import org.heatherreach.state.id.WorkspaceId;

/**
 * The limits of one workspace, from its row of the table. Immutable and safe for use by any thread.
 * Invariant: the numbers are at least 1.
 *
 * @param workspace the workspace
 * @param weight the share of the workspace relative to other workspaces of the same rank
 * @param requestLimit the number of requests of the workspace that one daemon holds at a time, queued or running
 */
public record WorkspaceLimits(WorkspaceId workspace, int weight, int requestLimit) {
    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public WorkspaceLimits {
        Objects.requireNonNull(workspace, "workspace");
        if (weight < 1 || requestLimit < 1) {
            throw new IllegalArgumentException("weight and requestLimit must be at least 1");
        }
    }
}
