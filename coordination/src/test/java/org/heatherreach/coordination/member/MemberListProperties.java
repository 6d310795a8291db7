package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

class MemberListProperties {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Guards against packets over 1,200 bytes, or with more than 8 updates, when ids are long. */
    @Example
    void packetsStayWithinTheLimit() {
        Random random = new Random(7107);
        MemberList list = new MemberList(MemberSettings.standard(), member(1, 40), List.of(), random, 0);
        for (int i = 2; i < 300; i++) {
            list.receive(ping(member(i, 60)), i);
        }
        for (int second = 1; second < 30; second++) {
            for (MemberAction action : list.tick(second * 900_000_000L)) {
                if (action instanceof MemberAction.SendPacket send) {
                    assertThat(send.packet().encodedSizeBytes()).isLessThanOrEqualTo(MemberPacket.SIZE_LIMIT_BYTES);
                }
            }
        }
    }

    /** Guards against an old update in a delayed packet that makes a dead member alive again. */
    @Example
    void oldUpdateDoesNotReviveADeadMember() {
        MemberList list = new MemberList(MemberSettings.standard(), member(1, 5), List.of(), new Random(1), 0);
        Member other = member(2, 5);
        list.receive(ping(other), 0);
        Member third = member(3, 5);
        list.receive(
                new MemberPacket(
                        MemberPacket.Kind.ACK, 0, third, 0, 0, beacon(), List.of(other.with(MemberState.DEAD, 0))),
                1);
        list.receive(new MemberPacket(MemberPacket.Kind.ACK, 0, third, 0, 0, beacon(), List.of(other)), 2);
        assertThat(list.view().contains(other.incarnation())).isFalse();
        list.receive(
                new MemberPacket(
                        MemberPacket.Kind.ACK, 0, third, 0, 0, beacon(), List.of(other.with(MemberState.ALIVE, 1))),
                3);
        assertThat(list.view().contains(other.incarnation())).isTrue();
    }

    /**
     * Guards against a pushed update that is taken for a page and ends the first full sync before its first request.
     */
    @Example
    void pushedUpdateDoesNotEndTheFullSync() {
        MemberList list = new MemberList(MemberSettings.standard(), member(1, 5), List.of(), new Random(1), 0);
        list.receive(ping(member(2, 5)), 1);
        list.receive(
                new MemberPacket(MemberPacket.Kind.ACK, 0, member(3, 5), 0, 0, beacon(), List.of(member(4, 5))), 2);
        assertThat(list.tick(3))
                .anyMatch(action -> action instanceof MemberAction.SendPacket send
                        && send.packet().kind() == MemberPacket.Kind.PING
                        && send.packet().target() != 0);
    }

    /**
     * Guards against lists that stay incomplete for minutes because the peer of the first full sync knew no members.
     */
    @Example
    void manyNewMembersCauseAnotherFullSync() {
        MemberList list = listAfterEmptySync();
        list.receive(ack(0, 0, newMembers(3, 10)), SECOND);
        assertThat(pageRequest(list, 6 * SECOND)).isPresent();
    }

    /**
     * Guards against members that stay dead after a network partition because no other full sync follows a page that
     * revives members.
     */
    @Example
    void returnedMembersInAPageCauseAnotherFullSync() {
        MemberList list = listAfterEmptySync();
        list.receive(ack(0, 0, newMembers(3, 10)), SECOND);
        list.receive(ack(0, 0, List.of(member(3, 5).with(MemberState.DEAD, 0))), 2 * SECOND);
        MemberPacket second = pageRequest(list, 6 * SECOND).orElseThrow();
        Member returned = member(3, 5).with(MemberState.ALIVE, 1);
        list.receive(ack(second.sequence(), 0, List.of(returned)), 6 * SECOND + 1);
        MemberPacket third = pageRequest(list, 11 * SECOND).orElseThrow();
        list.receive(ack(third.sequence(), 0, List.of(returned)), 11 * SECOND + 1);
        assertThat(pageRequest(list, 16 * SECOND)).isEmpty();
    }

    /**
     * Guards against a member that stays dead for a minute because it is not notified and so does not refute its death.
     */
    @Example
    void memberThatIsLiveInAPageAndDeadInTheListIsContacted() {
        MemberList list = listAfterEmptySync();
        list.receive(ack(0, 0, newMembers(3, 10)), SECOND);
        list.receive(ack(0, 0, List.of(member(3, 5).with(MemberState.DEAD, 0))), 2 * SECOND);
        MemberPacket request = pageRequest(list, 6 * SECOND).orElseThrow();
        assertThat(list.receive(ack(request.sequence(), 0, newMembers(3, 10)), 6 * SECOND + 1))
                .anyMatch(action -> action instanceof MemberAction.SendPacket send
                        && send.packet().kind() == MemberPacket.Kind.PING
                        && send.to().equals(member(3, 5).address()));
    }

    /** Guards against a random choice from a long VM list that misses the only unknown daemon for a minute. */
    @Example
    void theOnlyMissingAddressIsContacted() {
        MemberList list = new MemberList(MemberSettings.standard(), member(1, 5), List.of(), new Random(7109), 0);
        for (int i = 2; i < 500; i++) {
            list.receive(ping(member(i, 5)), i);
        }
        list.updateVmList(IntStream.rangeClosed(1, 500)
                .mapToObj(i -> member(i, 5).address())
                .toList());
        assertThat(sent(list, MemberSettings.standard().contactIntervalNanos()))
                .anyMatch(send -> send.to().equals(member(500, 5).address()));
    }

    /**
     * Guards against relays that are all in one zone and fail together if one direction from or to that zone is cut.
     */
    @Example
    void relaysAreInDifferentZones() {
        MemberList list =
                new MemberList(MemberSettings.standard(), memberInOneOfThreeZones(1), List.of(), new Random(7110), 0);
        for (int i = 2; i <= 60; i++) {
            list.receive(ping(memberInOneOfThreeZones(i)), i);
        }
        MemberPacket probe = null;
        int probes = 0;
        for (long nowNanos = SECOND / 5; nowNanos < 60 * SECOND; nowNanos += SECOND / 5) {
            List<ZoneId> relayZones = new ArrayList<>();
            for (MemberAction.SendPacket send : sent(list, nowNanos)) {
                if (send.packet().kind() == MemberPacket.Kind.PING_REQUEST) {
                    relayZones.add(memberInOneOfThreeZones(send.to()).zone());
                } else if (send.packet().expected() != 0) {
                    probe = send.packet();
                }
            }
            if (!relayZones.isEmpty()) {
                Member target = memberInOneOfThreeZones((int) probe.expected());
                assertThat(relayZones).hasSize(3);
                assertThat(Set.copyOf(relayZones)).hasSizeGreaterThan(1);
                assertThat(relayZones.stream()
                                .filter(zone ->
                                        !zone.equals(memberInOneOfThreeZones(1).zone()) && !zone.equals(target.zone())))
                        .hasSize(2);
                list.receive(
                        new MemberPacket(MemberPacket.Kind.ACK, probe.sequence(), target, 0, 0, beacon(), List.of()),
                        nowNanos);
                probes++;
            }
        }
        assertThat(probes).isGreaterThan(50);
    }

    private static MemberList listAfterEmptySync() {
        MemberList list = new MemberList(MemberSettings.standard(), member(1, 5), List.of(), new Random(1), 0);
        list.receive(ping(member(2, 5)), 1);
        MemberPacket first = pageRequest(list, 2).orElseThrow();
        list.receive(ack(first.sequence(), 0, List.of()), 3);
        return list;
    }

    /**
     * Ticks once and returns the page request of a full sync. Periodic repair requests differ from it in that they name
     * an expected incarnation.
     */
    private static Optional<MemberPacket> pageRequest(MemberList list, long nowNanos) {
        return sent(list, nowNanos).stream()
                .map(MemberAction.SendPacket::packet)
                .filter(packet -> packet.kind() == MemberPacket.Kind.PING)
                .filter(packet -> packet.target() != 0 && packet.expected() == 0)
                .findFirst();
    }

    private static List<MemberAction.SendPacket> sent(MemberList list, long nowNanos) {
        return list.tick(nowNanos).stream()
                .filter(MemberAction.SendPacket.class::isInstance)
                .map(MemberAction.SendPacket.class::cast)
                .toList();
    }

    private static List<Member> newMembers(int from, int to) {
        return IntStream.rangeClosed(from, to).mapToObj(i -> member(i, 5)).toList();
    }

    private static MemberPacket ack(long sequence, long target, List<Member> updates) {
        return new MemberPacket(MemberPacket.Kind.ACK, sequence, member(2, 5), target, 0, beacon(), updates);
    }

    private static MemberPacket ping(Member sender) {
        return new MemberPacket(MemberPacket.Kind.PING, 1, sender, 0, 0, beacon(), List.of());
    }

    private static TableBeacon beacon() {
        return new TableBeacon(0, TableBeacon.NEVER_CONFIRMED, false);
    }

    private static Member memberInOneOfThreeZones(MemberAddress address) {
        return memberInOneOfThreeZones(Integer.parseInt(address.host().substring("10.0.0.".length())));
    }

    /** Returns a member in one of three zones, chosen by its number. */
    private static Member memberInOneOfThreeZones(int number) {
        return member(number, number % 3);
    }

    private static Member member(int number, int nameLength) {
        return new Member(
                new DaemonId("d".repeat(nameLength) + number),
                new IncarnationId(number),
                0,
                MemberState.ALIVE,
                new ZoneId("zone-" + "z".repeat(nameLength)),
                new RegionId("region"),
                new MemberAddress("10.0.0." + number, 7_000),
                8_000,
                0);
    }
}
