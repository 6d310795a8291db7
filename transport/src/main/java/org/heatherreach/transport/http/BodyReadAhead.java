package org.heatherreach.transport.http;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import reactor.core.publisher.Flux;

/**
 * Reads the body of a request on a caller's connection while the request waits for a credit, a server or a connection,
 * because only a read that reaches the end notices that the caller has closed the connection. The HTTP server keeps
 * what arrives until the body is sent.
 *
 * <p>Invariants: reads only between {@link #start} and {@link #stop}; each request may have {@link #OWN_BYTES} unsent
 * bytes, and those beyond are counted against the budget that all connections share until they are sent or the request
 * ends.
 *
 * <p>Confined to the event loop of the connection, except that any thread may end the wait for the budget.
 */
final class BodyReadAhead {
    /** What each waiting request may read whatever the others hold. */
    private static final long OWN_BYTES = 64 * 1024;

    private final ReadAheadBudget budget;
    private final Runnable read;
    private final Runnable resume;
    private boolean active;
    private long receivedBytes;
    private long heldBytes;

    /**
     * Creates the read-ahead of a connection.
     *
     * @param read requests a read from the connection; called by any thread
     */
    BodyReadAhead(ReadAheadBudget budget, Runnable read) {
        this.budget = Objects.requireNonNull(budget, "budget");
        this.read = Objects.requireNonNull(read, "read");
        this.resume = read::run;
    }

    /** Starts to read for a request that waits. */
    void start() {
        active = true;
        read.run();
    }

    /** Leaves reading to the reader of the body. */
    void stop() {
        active = false;
        budget.remove(resume);
    }

    /** Ends the read-ahead of the current request. */
    void end() {
        stop();
        release(heldBytes);
        receivedBytes = 0;
    }

    /** Returns the body as it is sent: from the first part on, its reader reads, and sent bytes are no longer held. */
    RequestBody observe(RequestBody body, CallerConnection caller) {
        if (body.isRetained()) {
            return body;
        }
        Flux<ByteBuf> observed = body.stream()
                .doOnSubscribe(subscription -> caller.onLoop(this::stop))
                .doOnNext(part -> release(Math.min(heldBytes, part.readableBytes())));
        return RequestBody.streamed(observed, body.lengthBytes());
    }

    /** Counts bytes that the connection brought. */
    void received(int bytes) {
        if (!active) {
            return;
        }
        long ownBytes = Math.min(bytes, Math.max(0, OWN_BYTES - receivedBytes));
        receivedBytes += bytes;
        heldBytes += bytes - ownBytes;
        budget.take(bytes - ownBytes);
    }

    /** Returns whether to read on now. If not for lack of room, the connection is read once there is room again. */
    boolean readsOn() {
        return active && (receivedBytes < OWN_BYTES || budget.hasRoom(resume));
    }

    private void release(long bytes) {
        if (bytes > 0) {
            heldBytes -= bytes;
            budget.release(bytes);
        }
    }
}
