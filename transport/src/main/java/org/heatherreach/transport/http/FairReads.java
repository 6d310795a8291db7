package org.heatherreach.transport.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Bounds how much is read from one connection before the event loop serves the other ones. The loop parses all that a
 * read returned, so without a bound a fast peer delays every other connection and the timers.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class FairReads {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int READS_PER_TURN = 1;

    private FairReads() {}

    /** Returns the allocator of receive buffers for the connections of callers and of backend servers. */
    static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(READS_PER_TURN);
    }
}
