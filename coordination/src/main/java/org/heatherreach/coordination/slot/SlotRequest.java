package org.heatherreach.coordination.slot;

import java.util.Objects;
import java.util.function.Predicate;

import io.vavr.control.Option;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.rank.Rank;

/**
 * A request that needs a slot of a server.
 *
 * @param id the id, unique among the outstanding requests of a pool
 * @param rank the rank
 * @param deadlineNanos the time at which the caller stops waiting
 * @param workspace the workspace that the request is counted for, if any
 * @param allowed whether the request may be sent to a server, evaluated just before a dispatch; keeps requests that
 *     are suspected of the same crash on different servers
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
