package org.heatherreach.daemon;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;

/**
 * Generates the request ids of one daemon: its incarnation, a hyphen and a sequence number, both hexadecimal. An id
 * thus identifies the process that has the history of the request. Safe for use by any thread.
 */
public final class RequestIdSource implements Supplier<RequestId> {
    private final AtomicLong sequence = new AtomicLong();
    private final String prefix;

    /** Creates a generator for one incarnation of a daemon. */
    public RequestIdSource(IncarnationId incarnation) {
        prefix = incarnation + "-";
    }

    /** Returns a new id. */
    @Override
    public RequestId get() {
        return new RequestId(prefix + Long.toHexString(sequence.incrementAndGet()));
    }

    /** Returns whether this generator has issued the id. */
    public boolean hasIssued(String id) {
        if (!id.startsWith(prefix)) {
            return false;
        }
        try {
            long number = Long.parseLong(id.substring(prefix.length()), 16);
            return number > 0 && number <= sequence.get();
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
