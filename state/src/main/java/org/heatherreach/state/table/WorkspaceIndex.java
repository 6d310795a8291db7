package org.heatherreach.state.table;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;

import org.heatherreach.state.id.WorkspaceId;

/** Finds the limits of a workspace by binary search over arrays. Immutable and safe for use by any thread. */
final class WorkspaceIndex {
    private final SortedNames names;
    private final int[] weights;
    private final int[] requestLimits;

    WorkspaceIndex(SortedMap<String, WorkspaceLimits> workspaces) {
        names = new SortedNames(List.copyOf(workspaces.keySet()));
        weights = new int[workspaces.size()];
        requestLimits = new int[workspaces.size()];
        int index = 0;
        for (Map.Entry<String, WorkspaceLimits> workspace : workspaces.entrySet()) {
            weights[index] = workspace.getValue().weight();
            requestLimits[index] = workspace.getValue().requestLimit();
            index++;
        }
    }

    int size() {
        return names.size();
    }

    WorkspaceLimits get(int index) {
        return new WorkspaceLimits(new WorkspaceId(names.get(index)), weights[index], requestLimits[index]);
    }

    /** Returns the index of a workspace, or -1. */
    int find(CharSequence name) {
        return names.find(name);
    }
}
