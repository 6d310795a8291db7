package org.heatherreach.coordination.quota;

import java.util.Objects;

import org.heatherreach.state.id.WorkspaceId;

/**
 * Asks the owner of a quota for credits. Immutable and safe for use by any thread.
 *
 * @param workspace the workspace
 * @param wanted the number of credits wanted; 0 if the daemon stops asking and gives up its claim on the fallback
 * @param returned the number of unused credits that are given back
 */
public record QuotaRequest(WorkspaceId workspace, int wanted, int returned) {
    /**
     * Creates a request.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public QuotaRequest {
        Objects.requireNonNull(workspace, "workspace");
        if (wanted < 0 || returned < 0) {
            throw new IllegalArgumentException("the credits of a request must not be negative");
        }
    }
}
