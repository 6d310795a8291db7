package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import io.vavr.control.Option;
import net.jqwik.api.Example;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.transport.http.DaemonAddress;
import org.heatherreach.transport.http.ServingGate;

import static org.assertj.core.api.Assertions.assertThat;

class MemberAddressBookTest {
    private static final Option<ServiceId> SERVICE = Option.of(new ServiceId("certdesk"));

    // Guards against the requests of one service being spread over all daemons of a large fleet.
    @Example
    void answersOfAllDaemonsNameTheSameFewForAService() {
        List<Member> members = IntStream.rangeClosed(1, 440)
                .mapToObj(MemberAddressBookTest::member)
                .toList();
        Set<DaemonId> first = daemons(book(members, 0).addresses(SERVICE));
        Set<DaemonId> second = daemons(book(members, 200).addresses(SERVICE));
        assertThat(first).hasSize(17).isEqualTo(second);
        assertThat(daemons(book(members, 0).addresses(Option.of(new ServiceId("other")))))
                .isNotEqualTo(first);
    }

    // Guards against an address list whose daemons are all in one zone and lost with it.
    @Example
    void spreadsOverZones() {
        List<Member> members = IntStream.rangeClosed(1, 440)
                .mapToObj(MemberAddressBookTest::member)
                .toList();
        List<DaemonAddress> addresses = book(members, 0).addresses(SERVICE);
        for (int zone = 0; zone < 3; zone++) {
            ZoneId id = new ZoneId("z" + zone);
            assertThat(addresses.stream()
                            .filter(address -> address.zone().equals(id))
                            .count())
                    .isBetween(5L, 6L);
        }
    }

    // Guards against sending callers to a leaving daemon, and against an incomplete list of a small site.
    @Example
    void listsTheWholeSiteButNotTheLeaving() {
        List<Member> members = new ArrayList<>(IntStream.rangeClosed(1, 17)
                .mapToObj(MemberAddressBookTest::member)
                .toList());
        assertThat(book(members, 0).addresses(Option.none())).hasSize(17);
        members.set(4, members.get(4).with(MemberState.LEAVING, 1));
        assertThat(daemons(book(members, 0).addresses(SERVICE)))
                .hasSize(16)
                .doesNotContain(members.get(4).daemon());
    }

    private static MemberAddressBook book(List<Member> members, int self) {
        MemberDirectory directory = new MemberDirectory(members.get(self));
        directory.publish(members.get(self), new MemberView(members));
        return new MemberAddressBook(directory, new ServingGate());
    }

    private static Set<DaemonId> daemons(List<DaemonAddress> addresses) {
        Set<DaemonId> daemons = new HashSet<>();
        addresses.forEach(address -> daemons.add(address.daemon()));
        return daemons;
    }

    private static Member member(int number) {
        return new Member(
                new DaemonId("daemon-" + number),
                new IncarnationId(number),
                0,
                MemberState.ALIVE,
                new ZoneId("z" + number % 3),
                new RegionId("r1"),
                new MemberAddress("127.0.0.1", 1000 + number),
                80,
                0);
    }
}
