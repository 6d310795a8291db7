package org.heatherreach.transport.peer;

import java.net.InetSocketAddress;

/**
 * Handles packets that arrive from peers. Called by event loops, so it must not block.
 *
 * @param <M> the type of the packets
 */
@FunctionalInterface
public interface PacketHandler<M> {
    /** Handles a packet that arrived from the given sender address. */
    void receive(M packet, InetSocketAddress sender);
}
