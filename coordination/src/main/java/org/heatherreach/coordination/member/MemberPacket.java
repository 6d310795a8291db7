package org.heatherreach.coordination.member;

import java.util.List;
import java.util.Objects;

/**
 * A datagram of failure detection and membership gossip. Immutable and safe for use by any thread.
 *
 * <p>The meaning of {@code target} depends on the kind. In a ping request it is the incarnation to ping. In a ping it
 * is zero, or the unsigned number at which a requested page of reachable members starts, in the order of incarnations.
 * In the acknowledgement of such a ping it is the start of the next page, or zero after the last page. In an
 * acknowledgement that a relay forwards for a ping request it is the incarnation that answered. An acknowledgement with
 * sequence zero answers no ping and only carries updates.
 *
 * @param kind the kind of the packet
 * @param sequence the number that an acknowledgement repeats
 * @param sender the sender as it sees itself
 * @param target an incarnation or the start of a page, as described above
 * @param expected the incarnation that a ping is addressed to; zero for any incarnation, as in a first contact
 *     by address
 * @param beacon the sender's table version and its view of the store
 * @param updates piggybacked updates, at most {@link #UPDATE_LIMIT}
 */
public record MemberPacket(
        Kind kind, long sequence, Member sender, long target, long expected, TableBeacon beacon, List<Member> updates) {
    /** Limit of the updates in one packet, so that the cost per packet doesn't grow with the fleet. */
    public static final int UPDATE_LIMIT = 8;

    /** Limit of the encoded packet, which with the headers of IP and UDP fits into one Ethernet frame. */
    public static final int SIZE_LIMIT_BYTES = 1_200;

    /** The kinds of packets. */
    public enum Kind {
        /** Asks the receiver for an acknowledgement. */
        PING,
        /** Asks the receiver to ping another member and to relay its acknowledgement. */
        PING_REQUEST,
        /** Acknowledges a ping or a ping request, or only carries updates. */
        ACK
    }

    /**
     * Creates a packet.
     *
     * @throws IllegalArgumentException if there are too many updates
     */
    public MemberPacket {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(beacon, "beacon");
        updates = List.copyOf(updates);
        if (updates.size() > UPDATE_LIMIT) {
            throw new IllegalArgumentException("a packet holds at most " + UPDATE_LIMIT + " updates");
        }
    }

    /** Returns the encoded length of the protobuf message. */
    public int encodedSizeBytes() {
        int size = headerSizeBytes(sequence, sender, target, expected, beacon);
        for (Member update : updates) {
            size += EncodedSize.ofMessage(update.encodedSizeBytes());
        }
        return size;
    }

    static int headerSizeBytes(long sequence, Member sender, long target, long expected, TableBeacon beacon) {
        return 2
                + EncodedSize.ofVarint(sequence)
                + EncodedSize.ofMessage(sender.encodedSizeBytes())
                + (target == 0 ? 0 : 9)
                + (expected == 0 ? 0 : 9)
                + EncodedSize.ofVarint(beacon.tableVersion())
                + EncodedSize.ofVarint(beacon.storeConfirmedAgeMillis())
                + (beacon.storeUnavailable() ? 2 : 0);
    }
}
