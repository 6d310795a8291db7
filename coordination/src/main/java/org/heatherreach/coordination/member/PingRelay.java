package org.heatherreach.coordination.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Relays pings for other members and forwards the acknowledgements to them.
 *
 * <p>Invariant: an acknowledgement is forwarded at most once, and only while its relay has not timed out. Confined to
 * the thread of its list.
 */
final class PingRelay {
    private static final long RELAY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PacketFactory packets;

    /** The relayed pings that wait for an acknowledgement, by the sequence number of the ping. */
    private final Map<Long, PendingRelay> pendingRelays = new HashMap<>();

    PingRelay(PacketFactory packets) {
        this.packets = Objects.requireNonNull(packets, "packets");
    }

    /** Pings the target of a ping request. */
    void relayPing(MemberPacket request, Member target, long nowNanos, List<MemberAction> actions) {
        long sequence = packets.nextSequence();
        pendingRelays.put(
                sequence,
                new PendingRelay(
                        request.sender().address(),
                        request.sequence(),
                        request.target(),
                        nowNanos + RELAY_TIMEOUT_NANOS));
        actions.add(packets.ping(target.address(), sequence, 0, request.target(), nowNanos));
    }

    /** Forwards an acknowledgement if it answers a relayed ping. */
    void handleAck(MemberPacket ack, long nowNanos, List<MemberAction> actions) {
        PendingRelay relay = pendingRelays.get(ack.sequence());
        if (relay != null && relay.target == ack.sender().incarnation().value()) {
            pendingRelays.remove(ack.sequence());
            actions.add(packets.relayedAck(relay.origin, relay.originSequence, ack.sender(), nowNanos));
        }
    }

    void removeExpired(long nowNanos) {
        if (!pendingRelays.isEmpty()) {
            pendingRelays.values().removeIf(relay -> nowNanos - relay.deadlineNanos >= 0);
        }
    }

    void clear() {
        pendingRelays.clear();
    }

    private record PendingRelay(MemberAddress origin, long originSequence, long target, long deadlineNanos) {}
}
