package org.heatherreach.coordination.owner;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

class OwnerMapProperties {
    private static final RegionId REGION = new RegionId("r0");

    private static Member member(int number) {
        return new Member(
                new DaemonId("daemon-" + number),
                new IncarnationId(1 + number * 7_919L),
                0,
                MemberState.ALIVE,
                new ZoneId("z" + number % 3),
                new RegionId("r" + number % 2),
                new MemberAddress("10.0.0.1", 1 + number),
                8_000,
                0);
    }

    private static List<PartId> parts() {
        List<PartId> parts = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            parts.add(new PartId(REGION, new ServiceId("service" + i), i % 3));
        }
        return parts;
    }

    /** Guards against owners that depend on the order of updates, so that daemons with the same members disagree. */
    @Property(seed = "7201", tries = 40)
    void ownersDependOnlyOnTheLiveMembers(
            @ForAll @IntRange(min = 2, max = 40) int count, @ForAll @IntRange(min = 0, max = 999) int seed) {
        Random random = new Random(seed);
        OwnerMap expected = new OwnerMap();
        OwnerMap actual = new OwnerMap();
        List<Member> order = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            order.add(member(i));
            expected.updateMember(member(i));
        }
        Collections.shuffle(order, random);
        order.forEach(actual::updateMember);
        parts().forEach(actual::owner);
        for (int i = 0; i < 5; i++) {
            Member removed = member(random.nextInt(count));
            actual.updateMember(removed.with(MemberState.DEAD, 0));
            parts().forEach(actual::owner);
            actual.updateMember(removed);
        }
        for (PartId part : parts()) {
            assertThat(actual.owner(part)).isEqualTo(expected.owner(part));
            assertThat(expected.owner(part).orElseThrow().region()).isEqualTo(REGION);
        }
        assertThat(actual.readers(REGION)).isEqualTo(expected.readers(REGION)).hasSizeLessThanOrEqualTo(3);
    }

    /** Guards against parts of other members that move when a member is lost, and against an owner that isn't live. */
    @Property(seed = "7202", tries = 20)
    void lossMovesOnlyTheLostMembersParts(@ForAll @IntRange(min = 0, max = 15) int lost) {
        OwnerMap owners = new OwnerMap();
        for (int i = 0; i < 16; i++) {
            owners.updateMember(member(i));
        }
        Map<PartId, Member> before = new HashMap<>();
        parts().forEach(part -> before.put(part, owners.owner(part).orElseThrow()));
        owners.updateMember(member(lost).with(MemberState.LEAVING, 1));
        for (PartId part : parts()) {
            Member after = owners.owner(part).orElseThrow();
            if (before.get(part).equals(member(lost))) {
                assertThat(after).isNotEqualTo(member(lost));
            } else {
                assertThat(after).isEqualTo(before.get(part));
            }
        }
    }

    /** Guards against parts of more than 256 servers and against servers that are in no part or in two parts. */
    @Property(seed = "7203", tries = 30)
    void partsHoldEveryServerOnceWithinTheLimit(@ForAll @IntRange(min = 0, max = 9_100) int count) {
        List<ServerId> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new ServerId("server-" + i));
        }
        ServiceParts parts = new ServiceParts(servers);
        HashSet<ServerId> seen = new HashSet<>();
        int total = 0;
        for (int part = 0; part < parts.count(); part++) {
            assertThat(parts.servers(part)).hasSizeLessThanOrEqualTo(ServiceParts.SERVER_LIMIT);
            for (ServerId server : parts.servers(part)) {
                assertThat(parts.partOf(server)).isEqualTo(part);
                seen.add(server);
                total++;
            }
        }
        assertThat(total).isEqualTo(count);
        assertThat(seen).hasSize(count);
    }
}
