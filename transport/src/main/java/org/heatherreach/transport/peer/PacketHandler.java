package org.heatherreach.transport.peer;

import java.net.InetSocketAddress;

import org.heatherreach.protocol.peer.wire.MemberPacket;

/** Handles membership packets. Called by event loops, so it must not block. */
@FunctionalInterface
public interface PacketHandler {
    /** Handles a packet that came from the given address. */
    void receive(MemberPacket packet, InetSocketAddress from);
}
