package org.heatherreach.daemon.fleet;

import java.util.Objects;

import org.heatherreach.transport.http.Submission;

/**
 * A submission that is queued or dispatched. Confined to the duty thread.
 */
final class PendingSubmission {
    final Submission submission;
    final ScheduledService service;
    final ScheduledPart part;
    boolean dispatched;

    PendingSubmission(Submission submission, ScheduledService service, ScheduledPart part) {
        this.submission = Objects.requireNonNull(submission, "submission");
        this.service = Objects.requireNonNull(service, "service");
        this.part = Objects.requireNonNull(part, "part");
    }
}
