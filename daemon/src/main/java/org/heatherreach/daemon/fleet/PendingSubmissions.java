package org.heatherreach.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.transport.http.Submission;

/**
 * The submissions that are queued or dispatched, by ticket, and their number by workspace.
 *
 * <p>Invariants: a submission that was counted for its workspace is counted until it is removed, also while it moves to
 * another part; a workspace without submissions takes no memory. Confined to the duty thread.
 */
final class PendingSubmissions {
    private static final int HEX_RADIX = 16;

    private final Map<Long, PendingSubmission> pending = new HashMap<>();
    private final Map<WorkspaceId, Integer> countByWorkspace = new HashMap<>();

    /** Returns the id of the request of a ticket in the slot pools. */
    static RequestId requestId(long ticket) {
        return new RequestId(Long.toHexString(ticket));
    }

    /** Returns the ticket of a request of the slot pools. */
    static long ticketOf(RequestId request) {
        return Long.parseUnsignedLong(request.value(), HEX_RADIX);
    }

    /** Returns the number of submissions of a workspace at this daemon, over all services. */
    int countOf(WorkspaceId workspace) {
        return countByWorkspace.getOrDefault(workspace, 0);
    }

    /** Counts a submission that was accepted for its workspace. */
    void count(Submission submission) {
        submission.workspace().forEach(workspace -> countByWorkspace.merge(workspace, 1, Integer::sum));
    }

    /** Adds a submission that was counted, or assigns it to another part. */
    void assign(Submission submission, ScheduledService service, ScheduledPart part) {
        pending.put(submission.ticket(), new PendingSubmission(submission, service, part));
    }

    /** Returns a submission; null if it is not pending. */
    PendingSubmission find(long ticket) {
        return pending.get(ticket);
    }

    /** Removes a submission that is pending. */
    void remove(PendingSubmission entry) {
        pending.remove(entry.submission.ticket());
        entry.submission
                .workspace()
                .forEach(workspace -> countByWorkspace.compute(
                        workspace, (key, count) -> count == null || count <= 1 ? null : count - 1));
    }

    /** Returns the submissions that wait for a slot. */
    List<PendingSubmission> queued() {
        return pending.values().stream().filter(entry -> !entry.dispatched).toList();
    }
}
