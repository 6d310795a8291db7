package org.heatherreach.protocol.peer;

import java.util.Collections;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherreach.coordination.atmostonce.ExecutionKey;
import org.heatherreach.coordination.atmostonce.Intent;
import org.heatherreach.coordination.atmostonce.IntentAck;
import org.heatherreach.coordination.atmostonce.KeyAttempt;
import org.heatherreach.coordination.atmostonce.OutcomeAnswer;
import org.heatherreach.coordination.atmostonce.OutcomeCopy;
import org.heatherreach.coordination.atmostonce.OutcomeQuery;
import org.heatherreach.coordination.atmostonce.RecordedAnswer;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberPacket;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.TableBeacon;
import org.heatherreach.coordination.table.TableAnswer;
import org.heatherreach.coordination.table.TableFetch;
import org.heatherreach.coordination.table.TablePush;
import org.heatherreach.protocol.peer.wire.MemberStateCode;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

// The round trips guard against fields that are lost or swapped on the wire, so every field of a sample has its own
// value.
class FleetCodecTest {
    private static final ExecutionKey KEY = new ExecutionKey(
            new IncarnationId(-11),
            new MemberAddress("127.0.0.9", 8021),
            new IncarnationId(12),
            new IncarnationId(13),
            14,
            -15);
    private static final KeyAttempt ATTEMPT = new KeyAttempt(KEY, 16);

    @Example
    void memberPacketsOfEveryKindAndStateRoundTrip() {
        for (MemberPacket.Kind kind : MemberPacket.Kind.values()) {
            for (MemberState state : MemberState.values()) {
                MemberPacket packet = new MemberPacket(
                        kind,
                        301,
                        member("entrée-1", state, 2),
                        -303,
                        -304,
                        new TableBeacon(305, 306, true),
                        List.of(member("d-2", state, 20_000), member("d-\ud83c\udf3f", MemberState.LEFT, 3)));
                assertThat(MemberCodec.decode(MemberCodec.encode(packet))).isEqualTo(packet);
            }
        }
    }

    // Guards against a computed size that differs from the serialized size. Packets are filled up to 1,200 bytes by
    // their computed sizes, so a wrong size would cause datagrams that are truncated or dropped.
    @Example
    void computedSizesMatchSerializedSizes() {
        for (long number : new long[] {0, 1, 127, 128, 16_383, 16_384, Integer.MAX_VALUE, Long.MAX_VALUE}) {
            Member sender = new Member(
                    new DaemonId("entrée-" + number),
                    new IncarnationId(number + 1),
                    (int) Math.min(number, Integer.MAX_VALUE),
                    MemberState.SUSPECT,
                    new ZoneId("z-\ud83c\udf3f"),
                    new RegionId("r".repeat(130)),
                    new MemberAddress("127.0.0.1", (int) Math.max(1, Math.min(number, 65_535))),
                    (int) Math.max(1, Math.min(number, 65_535)),
                    number);
            MemberPacket packet = new MemberPacket(
                    MemberPacket.Kind.ACK,
                    number,
                    sender,
                    number,
                    -number,
                    new TableBeacon(number, (int) Math.min(number, TableBeacon.NEVER_CONFIRMED), number % 2 == 0),
                    number % 2 == 0 ? List.of() : List.of(sender, sender));
            assertThat(sender.encodedSizeBytes())
                    .isEqualTo(MemberCodec.encode(sender).getSerializedSize());
            assertThat(packet.encodedSizeBytes())
                    .isEqualTo(MemberCodec.encode(packet).getSerializedSize());
        }
    }

    // Guards against packets that are accepted with a missing, negative or unknown value, or with too many updates.
    @Example
    void rejectsMalformedMemberPackets() {
        var valid = MemberCodec.encode(new MemberPacket(
                MemberPacket.Kind.PING,
                1,
                member("d-1", MemberState.ALIVE, 2),
                0,
                0,
                new TableBeacon(3, 4, false),
                List.of()));
        var update = valid.getSender();
        for (var malformed : List.of(
                valid.toBuilder().clearSender().build(),
                valid.toBuilder().clearKind().build(),
                valid.toBuilder().setKindValue(77).build(),
                valid.toBuilder().setTableVersion(-1).build(),
                valid.toBuilder().setStoreConfirmedAgeMs(-1).build(),
                valid.toBuilder()
                        .setSender(update.toBuilder().clearIncarnation())
                        .build(),
                valid.toBuilder().setSender(update.toBuilder().clearDaemon()).build(),
                valid.toBuilder().setSender(update.toBuilder().setCounter(-1)).build(),
                valid.toBuilder()
                        .setSender(update.toBuilder().setPeerPort(65_536))
                        .build(),
                valid.toBuilder()
                        .setSender(update.toBuilder().setCallerPort(-1))
                        .build(),
                valid.toBuilder()
                        .setSender(update.toBuilder().clearCallerPort())
                        .build(),
                valid.toBuilder()
                        .setSender(update.toBuilder().setState(MemberStateCode.MEMBER_STATE_CODE_UNSPECIFIED))
                        .build(),
                valid.toBuilder().setSender(update.toBuilder().setStateValue(9)).build(),
                valid.toBuilder()
                        .addAllUpdates(Collections.nCopies(MemberPacket.UPDATE_LIMIT + 1, update))
                        .build())) {
            assertThatThrownBy(() -> MemberCodec.decode(malformed)).isInstanceOf(MessageException.class);
        }
    }

    @Example
    void tableMessagesRoundTrip() {
        TablePush push = new TablePush(41, new byte[] {1, -2, 3});
        TableAnswer answer = new TableAnswer(42, new byte[] {4, -5});
        TableFetch fetch = new TableFetch(43);
        assertThat(TableCodec.decode(TableCodec.encode(push)))
                .usingRecursiveComparison()
                .isEqualTo(push);
        assertThat(TableCodec.decode(TableCodec.encode(answer)))
                .usingRecursiveComparison()
                .isEqualTo(answer);
        assertThat(TableCodec.decode(TableCodec.encode(fetch))).isEqualTo(fetch);
    }

    // Guards against table messages that are accepted with a negative version.
    @Example
    void rejectsMalformedTableMessages() {
        var push = TableCodec.encode(new TablePush(-1, new byte[0]));
        var answer = TableCodec.encode(new TableAnswer(-1, new byte[0]));
        var fetch = TableCodec.encode(new TableFetch(-1));
        assertThatThrownBy(() -> TableCodec.decode(push)).isInstanceOf(MessageException.class);
        assertThatThrownBy(() -> TableCodec.decode(answer)).isInstanceOf(MessageException.class);
        assertThatThrownBy(() -> TableCodec.decode(fetch)).isInstanceOf(MessageException.class);
    }

    @Example
    void executionKeyMessagesRoundTrip() {
        Intent intent = new Intent(ATTEMPT, -51);
        OutcomeCopy copy = new OutcomeCopy(ATTEMPT, -52, new RecordedAnswer(201, "text/a", new byte[] {5, -3}, true));
        OutcomeCopy withdrawal = new OutcomeCopy(ATTEMPT, -53, RecordedAnswer.WITHDRAWN);
        assertThat(OnceCodec.decode(OnceCodec.encode(intent))).isEqualTo(intent);
        assertThat(OnceCodec.decode(OnceCodec.encode(copy)))
                .usingRecursiveComparison()
                .isEqualTo(copy);
        assertThat(OnceCodec.decode(OnceCodec.encode(withdrawal)))
                .usingRecursiveComparison()
                .isEqualTo(withdrawal);
        for (boolean flag : new boolean[] {true, false}) {
            IntentAck ack = new IntentAck(ATTEMPT, flag);
            OutcomeQuery query = new OutcomeQuery(KEY, flag);
            assertThat(OnceCodec.decode(OnceCodec.encode(ack))).isEqualTo(ack);
            assertThat(OnceCodec.decode(OnceCodec.encode(query))).isEqualTo(query);
        }
        for (OutcomeAnswer.Kind kind : OutcomeAnswer.Kind.values()) {
            Optional<RecordedAnswer> recorded = kind == OutcomeAnswer.Kind.RECORDED
                    ? Optional.of(new RecordedAnswer(202, "text/b", new byte[] {6}, false))
                    : Optional.empty();
            OutcomeAnswer answer = new OutcomeAnswer(KEY, kind, -54, recorded);
            assertThat(OnceCodec.decode(OnceCodec.encode(answer)))
                    .usingRecursiveComparison()
                    .isEqualTo(answer);
        }
    }

    // Guards against messages that are accepted with a malformed key, with a missing or unexpected answer, or with an
    // unknown kind or status.
    @Example
    void rejectsMalformedExecutionKeyMessages() {
        var intent = OnceCodec.encode(new Intent(ATTEMPT, 1));
        var copy = OnceCodec.encode(new OutcomeCopy(ATTEMPT, 1, new RecordedAnswer(200, "", new byte[0], true)));
        var query = OnceCodec.encode(new OutcomeQuery(KEY, true));
        var answer = OnceCodec.encode(new OutcomeAnswer(
                KEY, OutcomeAnswer.Kind.RECORDED, 1, Optional.of(new RecordedAnswer(200, "", new byte[0], true))));
        // A damaged key: one character differs, so that only the checksum shows it.
        String damaged =
                intent.getKey().replaceFirst("^hk1.", "hk1" + (intent.getKey().charAt(3) == 'A' ? 'B' : 'A'));
        for (String key : List.of("", damaged, KEY.toText(), KEY.toText() + ".0", KEY.toText() + ".x")) {
            assertThatThrownBy(() ->
                            OnceCodec.decode(intent.toBuilder().setKey(key).build()))
                    .isInstanceOf(MessageException.class);
            assertThatThrownBy(
                            () -> OnceCodec.decode(copy.toBuilder().setKey(key).build()))
                    .isInstanceOf(MessageException.class);
        }
        assertThatThrownBy(() -> OnceCodec.decode(copy.toBuilder().clearAnswer().build()))
                .isInstanceOf(MessageException.class);
        assertThatThrownBy(() -> OnceCodec.decode(
                        query.toBuilder().setKey(ATTEMPT.toText()).build()))
                .isInstanceOf(MessageException.class);
        for (var malformed : List.of(
                answer.toBuilder().clearAnswer().build(),
                answer.toBuilder().clearKind().build(),
                answer.toBuilder().setKindValue(99).build(),
                answer.toBuilder()
                        .setKind(org.heatherreach.protocol.peer.wire.OutcomeAnswer.Kind.KIND_BARRED)
                        .build(),
                answer.toBuilder()
                        .setAnswer(answer.getAnswer().toBuilder().setStatus(0))
                        .build(),
                answer.toBuilder()
                        .setAnswer(answer.getAnswer().toBuilder().setStatus(1_000))
                        .build())) {
            assertThatThrownBy(() -> OnceCodec.decode(malformed)).isInstanceOf(MessageException.class);
        }
    }

    private static Member member(String daemon, MemberState state, int counter) {
        return new Member(
                new DaemonId(daemon),
                new IncarnationId(-counter),
                counter,
                state,
                new ZoneId("z-a"),
                new RegionId("r-b"),
                new MemberAddress("127.0.0.7", 7001),
                7002,
                7003);
    }
}
