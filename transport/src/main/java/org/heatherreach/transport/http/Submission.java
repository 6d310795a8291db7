package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.rank.Rank;

/**
 * One attempt to run a request, as passed to a scheduler. A retry is a new submission with a new ticket. Immutable and
 * safe for use by any thread.
 *
 * @param ticket identifies the submission within the process
 * @param service the service of the request
 * @param rank the rank of the request
 * @param workspace the workspace, if the caller set one
 * @param fingerprint the hash that identifies a request that is suspected of crashing servers
 * @param deadlineNanos the deadline on the clock of {@link System#nanoTime}
 * @param terms the conditions of retries, priority and latency for the request
 * @param triedServers the servers at which this request failed before; other servers are preferred
 * @param traits what may tell how much work the request is
 * @param callback receives the decision exactly once unless the submission is cancelled first; it is called by the
 *     scheduler's thread and must not block
 */
public record Submission(
        long ticket,
        ServiceId service,
        Rank rank,
        Option<WorkspaceId> workspace,
        long fingerprint,
        long deadlineNanos,
        CallTerms terms,
        Set<ServerId> triedServers,
        RequestTraits traits,
        Consumer<ScheduleDecision> callback) {
    /** Creates a submission. */
    public Submission {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(callback, "callback");
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(traits, "traits");
        triedServers = Set.copyOf(triedServers);
    }
}
