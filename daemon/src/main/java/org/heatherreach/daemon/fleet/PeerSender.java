package org.heatherreach.daemon.fleet;

import java.util.Objects;
import java.util.Optional;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.transport.peer.PeerAddress;
import org.heatherreach.transport.peer.PeerLinks;

/** Sends frames to members by their incarnation. Safe for use by any thread. */
final class PeerSender {
    private final MemberDirectory members;
    private final PeerLinks links;
    private final Counter unknownReceivers;

    PeerSender(MemberDirectory members, PeerLinks links, MeterRegistry registry) {
        this.members = Objects.requireNonNull(members, "members");
        this.links = Objects.requireNonNull(links, "links");
        unknownReceivers = registry.counter("heatherreach.peer.failures", "reason", "unknown-member");
    }

    /**
     * Sends a frame that has no answer. A frame to an unreachable member is counted and dropped; callers resend if
     * needed.
     */
    void send(IncarnationId receiver, Frame.Builder frame) {
        Optional<PeerAddress> peer = members.peer(receiver);
        if (peer.isPresent()) {
            links.send(peer.get(), frame);
        } else {
            unknownReceivers.increment();
        }
    }
}
