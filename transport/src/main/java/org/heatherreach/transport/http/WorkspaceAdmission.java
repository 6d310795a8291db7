package org.heatherreach.transport.http;

import java.util.function.Consumer;

import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.workspace.Workspace;

/**
 * Decides whether a request of a limited workspace is within the quota. Every method may be called by any thread and
 * returns immediately.
 *
 * <p>Lifecycle of a request: {@link #admit}; then either {@link #cancel} or one decision; after an admission
 * {@link #refund} if the request was not sent to a server. A decision can still arrive after a cancellation; an admission
 * that does must be refunded.
 */
public interface WorkspaceAdmission {
    /** Admits every request. */
    WorkspaceAdmission NONE = new WorkspaceAdmission() {
        @Override
        public void admit(long ticket, Workspace workspace, long deadlineNanos, Consumer<AdmissionDecision> callback) {
            callback.accept(new AdmissionDecision.Admit());
        }

        @Override
        public void cancel(long ticket) {}

        @Override
        public void refund(WorkspaceId workspace) {}
    };

    /**
     * Asks for a credit.
     *
     * @param ticket identifies the request
     * @param deadlineNanos until when its caller waits, on the clock of {@link System#nanoTime}
     * @param callback receives the decision on any thread
     */
    void admit(long ticket, Workspace workspace, long deadlineNanos, Consumer<AdmissionDecision> callback);

    /** Withdraws a request that waits for a decision. */
    void cancel(long ticket);

    /** Gives back the credit of a request that was not sent to a server. */
    void refund(WorkspaceId workspace);
}
