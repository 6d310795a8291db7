package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Creates the packets that this daemon sends. Pings and acknowledgements piggyback queued updates; pages and suspicion
 * notices carry other content instead.
 *
 * <p>Invariants: no packet exceeds {@link MemberPacket#SIZE_LIMIT_BYTES} or {@link MemberPacket#UPDATE_LIMIT}; no
 * sequence number is assigned twice. Confined to the thread of its list.
 */
final class PacketFactory {
    private final LocalMember local;
    private final UpdateQueue updateQueue;
    private long lastSequence;

    PacketFactory(LocalMember local, UpdateQueue updateQueue) {
        this.local = Objects.requireNonNull(local, "local");
        this.updateQueue = Objects.requireNonNull(updateQueue, "updateQueue");
    }

    /** Assigns the sequence number of a new ping. */
    long nextSequence() {
        return ++lastSequence;
    }

    /**
     * Creates a ping.
     *
     * @param pageStart the start of the requested page; zero to request none
     * @param expected the incarnation that is pinged; zero for any
     */
    MemberAction ping(MemberAddress to, long sequence, long pageStart, long expected, long nowNanos) {
        return create(to, MemberPacket.Kind.PING, sequence, pageStart, expected, nowNanos);
    }

    /** Creates a ping to whichever incarnation uses an address. */
    MemberAction contact(MemberAddress to, long nowNanos) {
        return ping(to, nextSequence(), 0, 0, nowNanos);
    }

    /** Creates the request to a relay to ping the target. */
    MemberAction pingRequest(MemberAddress relay, long sequence, Member target, long nowNanos) {
        return create(
                relay,
                MemberPacket.Kind.PING_REQUEST,
                sequence,
                target.incarnation().value(),
                0,
                nowNanos);
    }

    /** Creates an acknowledgement of a ping that requested no page. */
    MemberAction ack(MemberAddress to, long sequence, long nowNanos) {
        return create(to, MemberPacket.Kind.ACK, sequence, 0, 0, nowNanos);
    }

    /** Creates the acknowledgement that a relay forwards after the target answered it. */
    MemberAction relayedAck(MemberAddress to, long sequence, Member target, long nowNanos) {
        return create(to, MemberPacket.Kind.ACK, sequence, target.incarnation().value(), 0, nowNanos);
    }

    /** Creates a packet that answers no ping and only carries updates. */
    MemberAction push(MemberAddress to, long nowNanos) {
        return ack(to, 0, nowNanos);
    }

    /** Creates a packet that notifies a member that it is suspected or declared dead. */
    MemberAction suspicionNotice(MemberAddress to, Member suspect, long nowNanos) {
        return new MemberAction.SendPacket(
                to,
                new MemberPacket(
                        MemberPacket.Kind.ACK, 0, local.member(), 0, 0, local.beacon(nowNanos), List.of(suspect)));
    }

    /**
     * Creates the acknowledgement of a ping that requested a page.
     *
     * @param entries the entries from the start of the page, in the order of incarnations
     */
    MemberAction page(MemberPacket ping, Iterable<MemberEntry> entries, long nowNanos) {
        TableBeacon beacon = local.beacon(nowNanos);
        List<Member> page = new ArrayList<>(MemberPacket.UPDATE_LIMIT);
        int remainingBytes = MemberPacket.SIZE_LIMIT_BYTES
                - MemberPacket.headerSizeBytes(ping.sequence(), local.member(), ping.target(), 0, beacon);
        long nextPageStart = 0;
        for (MemberEntry entry : entries) {
            if (!entry.member.state().isReachable()) {
                continue;
            }
            int sizeBytes = EncodedSize.ofMessage(entry.member.encodedSizeBytes());
            if (page.size() == MemberPacket.UPDATE_LIMIT || sizeBytes > remainingBytes) {
                nextPageStart = entry.member.incarnation().value();
                break;
            }
            remainingBytes -= sizeBytes;
            page.add(entry.member);
        }
        return new MemberAction.SendPacket(
                ping.sender().address(),
                new MemberPacket(
                        MemberPacket.Kind.ACK, ping.sequence(), local.member(), nextPageStart, 0, beacon, page));
    }

    private MemberAction create(
            MemberAddress to, MemberPacket.Kind kind, long sequence, long target, long expected, long nowNanos) {
        TableBeacon beacon = local.beacon(nowNanos);
        int remainingBytes = MemberPacket.SIZE_LIMIT_BYTES
                - MemberPacket.headerSizeBytes(sequence, local.member(), target, expected, beacon);
        List<Member> updates = updateQueue.take(MemberPacket.UPDATE_LIMIT, remainingBytes);
        return new MemberAction.SendPacket(
                to, new MemberPacket(kind, sequence, local.member(), target, expected, beacon, updates));
    }
}
