package org.heatherreach.coordination.slot;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.heatherreach.coordination.admission.DeadlineQueue;
import org.heatherreach.state.id.ServerId;

/**
 * A request that a pool tracks.
 *
 * <p>Invariant: it is either queued, with a key, or running on a server. Confined to the thread of its pool.
 */
final class OutstandingRequest {
    final SlotRequest request;
    final long submittedNanos;

    /** The server whose slot the request occupies; null while it is queued. */
    LeasedServer server;

    long dispatchedNanos;

    /** The servers of failed attempts; null before the first retry. */
    Set<ServerId> tried;

    /** Identifies the request in its queue; null while it runs. */
    DeadlineQueue.Key queueKey;

    OutstandingRequest(SlotRequest request, long submittedNanos) {
        this.request = Objects.requireNonNull(request, "request");
        this.submittedNanos = submittedNanos;
    }

    boolean isRunning() {
        return server != null;
    }

    boolean isPastDeadline(long nowNanos) {
        return request.deadlineNanos() - nowNanos <= 0;
    }

    /** Excludes the server of this attempt from later ones. */
    void addTriedServer() {
        if (tried == null) {
            tried = new HashSet<>();
        }
        tried.add(server.id);
    }
}
