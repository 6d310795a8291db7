package org.heatherreach.coordination.slot;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;

import io.vavr.control.Option;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.WorkspaceId;

/**
 * The requests that a pool tracks, with their number by workspace.
 *
 * <p>Invariant: a workspace has a count only while it has outstanding requests. Confined to the thread of its pool.
 */
final class OutstandingRequests {
    private final ToIntFunction<WorkspaceId> workspaceLimit;
    private final Map<RequestId, OutstandingRequest> requests = new HashMap<>();
    private final Map<WorkspaceId, Integer> countsByWorkspace = new HashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param workspaceLimit the limit of the outstanding requests of a workspace; zero for none
     */
    OutstandingRequests(ToIntFunction<WorkspaceId> workspaceLimit) {
        this.workspaceLimit = Objects.requireNonNull(workspaceLimit, "workspaceLimit");
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    boolean contains(RequestId id) {
        return requests.containsKey(id);
    }

    /** Finds a request that is queued or running; null if there is none. */
    OutstandingRequest find(RequestId id) {
        return requests.get(id);
    }

    /** Finds a request that is running; null if there is none. */
    OutstandingRequest findRunning(RequestId id) {
        OutstandingRequest request = requests.get(id);
        return request != null && request.isRunning() ? request : null;
    }

    void add(OutstandingRequest outstanding) {
        requests.put(outstanding.request.id(), outstanding);
        outstanding.request.workspace().forEach(workspace -> countsByWorkspace.merge(workspace, 1, Integer::sum));
    }

    void remove(OutstandingRequest outstanding) {
        requests.remove(outstanding.request.id());
        outstanding
                .request
                .workspace()
                .forEach(workspace -> countsByWorkspace.compute(
                        workspace, (key, count) -> count == null || count <= 1 ? null : count - 1));
    }

    /** Returns whether a request of the given workspace, if any, would exceed the limit of that workspace. */
    boolean hasReachedLimit(Option<WorkspaceId> workspace) {
        return workspace.exists(this::hasReachedLimit);
    }

    private boolean hasReachedLimit(WorkspaceId workspace) {
        int limit = workspaceLimit.applyAsInt(workspace);
        return limit > 0 && countsByWorkspace.getOrDefault(workspace, 0) >= limit;
    }
}
