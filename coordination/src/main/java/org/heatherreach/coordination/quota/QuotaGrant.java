package org.heatherreach.coordination.quota;

import java.util.Objects;

import org.heatherreach.state.id.WorkspaceId;

/**
 * The reply of an owner to a {@link QuotaRequest}. Immutable and safe for use by any thread.
 *
 * @param workspace the workspace
 * @param granted the number of credits granted
 * @param nextMillis after how many milliseconds the next credit is available; 0 if all were granted
 * @param warming whether the owner took over so recently that it may have fewer credits than the quota permits
 * @param notOwner whether the daemon that replies doesn't own the partition or may not grant at present
 */
public record QuotaGrant(WorkspaceId workspace, int granted, long nextMillis, boolean warming, boolean notOwner) {
    /** Creates a grant. */
    public QuotaGrant {
        Objects.requireNonNull(workspace, "workspace");
    }

    /** Returns the reply of a daemon that doesn't own the partition of a workspace. */
    public static QuotaGrant notOwner(WorkspaceId workspace) {
        return new QuotaGrant(workspace, 0, 0, false, true);
    }
}
