package org.heatherreach.transport.http;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * The history entry of a request that has ended, for later inspection by operators. Texts are empty if unknown, as for
 * a request that was refused before its headers were accepted. Immutable and safe for use by any thread.
 *
 * @param request the request id that was sent to the caller
 * @param service the id of the service
 * @param rank the label of the rank
 * @param workspace the id of the workspace
 * @param tableVersion the version of the routes or limits that applied to the request; 0 if it was not recorded
 * @param arrivalEpochMillis when the request arrived
 * @param durationNanos the time from the arrival of the request to its end
 * @param ending how the request ended on the caller's side
 * @param outcome the outcome in the head of the response; empty if none was sent
 * @param reason the reason of a refusal; empty for other responses
 * @param attempts the exchanges with servers, in order
 */
public record EndedRequest(
        RequestId request,
        String service,
        String rank,
        String workspace,
        long tableVersion,
        long arrivalEpochMillis,
        long durationNanos,
        RequestEnding ending,
        String outcome,
        String reason,
        List<ServerAttempt> attempts) {
    /** Creates an entry. */
    public EndedRequest {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(ending, "ending");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        attempts = List.copyOf(attempts);
    }

    /** Returns the entry of a request that was refused before its headers were accepted. */
    static EndedRequest refusedAtHead(RequestId request, Outcome outcome, RefusalReason reason) {
        return new EndedRequest(
                request,
                "",
                "",
                "",
                0,
                System.currentTimeMillis(),
                0,
                RequestEnding.ANSWERED,
                outcome.label(),
                reason.label(),
                List.of());
    }
}
