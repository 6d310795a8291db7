package org.heatherreach.protocol.peer;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberPacket;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.TableBeacon;
import org.heatherreach.protocol.peer.wire.MemberStateCode;
import org.heatherreach.protocol.peer.wire.MemberUpdate;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

/**
 * Converts failure detection packets to and from their wire form. Decoding fails with {@link MessageException}.
 * Stateless and safe for use by any thread.
 */
public final class MemberCodec {
    private static final int MAX_PORT = 65_535;

    private MemberCodec() {}

    /** Converts a packet to its wire form. */
    public static org.heatherreach.protocol.peer.wire.MemberPacket encode(MemberPacket packet) {
        TableBeacon beacon = packet.beacon();
        var wire = org.heatherreach.protocol.peer.wire.MemberPacket.newBuilder()
                .setKind(encode(packet.kind()))
                .setSequence(packet.sequence())
                .setSender(encode(packet.sender()))
                .setTarget(packet.target())
                .setExpected(packet.expected())
                .setTableVersion(beacon.tableVersion())
                .setStoreConfirmedAgeMs(beacon.storeConfirmedAgeMillis())
                .setStoreAway(beacon.storeUnavailable());
        packet.updates().forEach(update -> wire.addUpdates(encode(update)));
        return wire.build();
    }

    /** Converts a packet from its wire form. */
    public static MemberPacket decode(org.heatherreach.protocol.peer.wire.MemberPacket wire) {
        return MessageDecoding.decode(
                "MemberPacket",
                () -> new MemberPacket(
                        decode(wire.getKind()),
                        wire.getSequence(),
                        decode(wire.getSender()),
                        wire.getTarget(),
                        wire.getExpected(),
                        new TableBeacon(wire.getTableVersion(), wire.getStoreConfirmedAgeMs(), wire.getStoreAway()),
                        wire.getUpdatesList().stream().map(MemberCodec::decode).toList()));
    }

    /** Converts a member update to its wire form. */
    public static MemberUpdate encode(Member member) {
        return MemberUpdate.newBuilder()
                .setDaemon(member.daemon().value())
                .setIncarnation(member.incarnation().value())
                .setCounter(member.counter())
                .setState(encode(member.state()))
                .setZone(member.zone().value())
                .setRegion(member.region().value())
                .setHost(member.address().host())
                .setPeerPort(member.address().port())
                .setCallerPort(member.callerPort())
                .setTableVersion(member.tableVersion())
                .build();
    }

    /** Converts a member update from its wire form. */
    public static Member decode(MemberUpdate wire) {
        return MessageDecoding.decode("MemberUpdate", () -> {
            if (wire.getCallerPort() < 1 || wire.getCallerPort() > MAX_PORT) {
                throw new IllegalArgumentException("caller_port must lie in 1 to 65535");
            }
            return new Member(
                    new DaemonId(wire.getDaemon()),
                    new IncarnationId(wire.getIncarnation()),
                    wire.getCounter(),
                    decode(wire.getState()),
                    new ZoneId(wire.getZone()),
                    new RegionId(wire.getRegion()),
                    new MemberAddress(wire.getHost(), wire.getPeerPort()),
                    wire.getCallerPort(),
                    wire.getTableVersion());
        });
    }

    private static org.heatherreach.protocol.peer.wire.MemberPacket.Kind encode(MemberPacket.Kind kind) {
        return switch (kind) {
            case PING -> org.heatherreach.protocol.peer.wire.MemberPacket.Kind.KIND_PING;
            case PING_REQUEST -> org.heatherreach.protocol.peer.wire.MemberPacket.Kind.KIND_PING_REQUEST;
            case ACK -> org.heatherreach.protocol.peer.wire.MemberPacket.Kind.KIND_ACK;
        };
    }

    private static MemberPacket.Kind decode(org.heatherreach.protocol.peer.wire.MemberPacket.Kind kind) {
        return switch (kind) {
            case KIND_PING -> MemberPacket.Kind.PING;
            case KIND_PING_REQUEST -> MemberPacket.Kind.PING_REQUEST;
            case KIND_ACK -> MemberPacket.Kind.ACK;
            case KIND_UNSPECIFIED, UNRECOGNIZED -> throw new IllegalArgumentException("unknown kind of packet");
        };
    }

    private static MemberStateCode encode(MemberState state) {
        return switch (state) {
            case ALIVE -> MemberStateCode.MEMBER_STATE_CODE_ALIVE;
            case SUSPECT -> MemberStateCode.MEMBER_STATE_CODE_SUSPECT;
            case LEAVING -> MemberStateCode.MEMBER_STATE_CODE_LEAVING;
            case DEAD -> MemberStateCode.MEMBER_STATE_CODE_DEAD;
            case LEFT -> MemberStateCode.MEMBER_STATE_CODE_LEFT;
        };
    }

    private static MemberState decode(MemberStateCode state) {
        return switch (state) {
            case MEMBER_STATE_CODE_ALIVE -> MemberState.ALIVE;
            case MEMBER_STATE_CODE_SUSPECT -> MemberState.SUSPECT;
            case MEMBER_STATE_CODE_LEAVING -> MemberState.LEAVING;
            case MEMBER_STATE_CODE_DEAD -> MemberState.DEAD;
            case MEMBER_STATE_CODE_LEFT -> MemberState.LEFT;
            case MEMBER_STATE_CODE_UNSPECIFIED, UNRECOGNIZED ->
                throw new IllegalArgumentException("unknown member state");
        };
    }
}
