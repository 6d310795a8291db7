package org.heatherreach.state.workspace;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.WorkspaceId;

/**
 * The account of a caller. Immutable and safe for use by any thread.
 *
 * @param id the name of the workspace
 * @param priority the priority of its requests, which replaces that of the route; 0 is the most urgent
 * @param quota how many requests it may send
 */
public record Workspace(WorkspaceId id, Option<Integer> priority, WorkspaceQuota quota) {
    /**
     * Creates a workspace.
     *
     * @throws IllegalArgumentException if the priority is negative
     */
    public Workspace {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(quota, "quota");
        if (priority.exists(value -> value < 0)) {
            throw new IllegalArgumentException("the priority of workspace " + id + " must not be negative");
        }
    }
}
