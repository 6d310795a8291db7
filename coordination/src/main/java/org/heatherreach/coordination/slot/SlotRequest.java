package org.heatherreach.coordination.slot;

import java.util.Objects;
import java.util.function.Predicate;

import io.vavr.control.Option;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.rank.Rank;

/**
 * A request that asks for a slot.
 *
 * @param id the id, unique among the outstanding requests of a pool
 * @param rank the rank
 * @param deadlineNanos when the caller stops waiting
 * @param workspace the workspace that the request is counted for, if any
 * @param allowed evaluated just before a dispatch; a server for which it is false does not get this request, so that
 *     suspects of one crash are kept apart
 */
public record SlotRequest(
        RequestId id, Rank rank, long deadlineNanos, Option<WorkspaceId> workspace, Predicate<ServerId> allowed) {
    /** Creates a request. */
    public SlotRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(allowed, "allowed");
    }
}
