package org.heatherreach.state.workspace;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Option;
import org.heatherreach.state.id.WorkspaceId;

/**
 * The workspaces of one version of the routing table, by API key. A lookup costs one map access, regardless of the
 * number of workspaces. Immutable and safe for use by any thread.
 *
 * <p>Invariant: a key belongs to one workspace, and a name to one workspace.
 */
public final class WorkspaceDirectory {
    /** A directory without workspaces, in which no request needs a key. */
    public static final WorkspaceDirectory EMPTY = new WorkspaceDirectory(Map.of());

    private final Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
    private final Map<ApiKey, Workspace> workspacesByKey = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param keysByWorkspace the workspaces and their keys
     * @throws IllegalArgumentException if two workspaces have the same name or share a key; the message has no key
     */
    public WorkspaceDirectory(Map<Workspace, ? extends Collection<ApiKey>> keysByWorkspace) {
        keysByWorkspace.forEach((workspace, keys) -> {
            if (workspaces.put(workspace.id(), workspace) != null) {
                throw new IllegalArgumentException("two workspaces are named " + workspace.id());
            }
            keys.forEach(key -> addKey(key, workspace));
        });
    }

    private void addKey(ApiKey key, Workspace workspace) {
        Workspace other = workspacesByKey.put(key, workspace);
        if (other != null && !other.equals(workspace)) {
            throw new IllegalArgumentException(
                    "workspaces " + other.id() + " and " + workspace.id() + " have the same API key");
        }
    }

    /** Returns whether there are no workspaces, so that requests need no key. */
    public boolean isEmpty() {
        return workspaces.isEmpty();
    }

    /** Returns the workspace that holds a key; empty if none does. */
    public Option<Workspace> find(ApiKey key) {
        return Option.of(workspacesByKey.get(key));
    }

    /** Returns the workspace with a name; empty if there is none. */
    public Option<Workspace> find(WorkspaceId id) {
        return Option.of(workspaces.get(id));
    }

    /** Returns all workspaces in no particular order. */
    public Collection<Workspace> workspaces() {
        return workspaces.values();
    }
}
