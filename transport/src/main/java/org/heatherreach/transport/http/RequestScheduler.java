package org.heatherreach.transport.http;

import java.util.List;

import org.heatherreach.coordination.balance.ServerNotice;
import org.heatherreach.state.id.ServiceId;

/**
 * Decides which server runs a request, and when. Every method may be called by any thread, returns immediately and
 * passes its event to the thread that owns the slots.
 *
 * <p>Lifecycle of a submission: {@link #submit}; then either {@link #cancel} or one decision; after a
 * {@link ScheduleDecision.Dispatch} exactly one {@link #complete}. A cancellation that races with a dispatch frees the
 * slot, so the caller of {@code cancel} must neither use the server nor complete the submission.
 */
public interface RequestScheduler extends AutoCloseable {
    /**
     * Submits a request.
     *
     * @return whether the submission was accepted; if not, the ring is full, the callback is never called and the
     *     request must be refused as {@code ring-full}
     */
    boolean submit(Submission submission);

    /**
     * Frees the slot of a dispatched submission. The event is never lost, even if the ring is full.
     *
     * @param ticket the ticket of the submission
     * @param result how the exchange ended
     */
    void complete(long ticket, ExchangeResult result);

    /**
     * Records what a server announced about itself in its response to a dispatched submission. Called before
     * {@link #complete}; a notice for a ticket that has completed or was cancelled is ignored. The event is never lost.
     */
    default void recordNotice(long ticket, ServerNotice notice) {}

    /** Withdraws a submission whose caller has disconnected or whose deadline has passed. The event is never lost. */
    void cancel(long ticket);

    /** Replaces the servers of a service. Submissions already dispatched stay valid. */
    void changeServers(ServiceId service, List<BackendServer> servers);

    /** Stops the scheduler; queued submissions are refused as {@code shutting-down}. */
    @Override
    void close();
}
