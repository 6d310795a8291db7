package org.heatherreach.coordination.table;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherreach.state.id.IncarnationId;

import static org.assertj.core.api.Assertions.assertThat;

class MemberFleetProperties {
    private static FleetFake settled(boolean naive, long seed, int zones, int regions, int count) {
        FleetFake fleet = new FleetFake(naive, seed, zones, regions, count);
        fleet.run(FleetFake.seconds(10));
        assertThat(fleet.allSeeAll()).isTrue();
        return fleet;
    }

    private static long sightings(FleetFake fleet, FleetFake.Node lost) {
        return fleet.nodes.stream()
                .filter(node -> node != lost && node.lists(lost))
                .count();
    }

    /** Guards against a daemon that is declared dead although a third zone reaches it. */
    @Property(seed = "7101", tries = 15)
    void oneWayCutKillsNobody(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = settled(false, seed, 3, 1, 12);
        fleet.cut("z0", "z1");
        for (int second = 0; second < 60; second++) {
            fleet.run(1_000);
            assertThat(fleet.allSeeAll()).isTrue();
        }
    }

    /** Guards against a harness that can't fail: without indirect pings the same cut kills members. */
    @Example
    void naiveVersionKillsUnderOneWayCut() {
        FleetFake fleet = settled(true, 7101, 3, 1, 12);
        fleet.cut("z0", "z1");
        fleet.run(FleetFake.seconds(20));
        assertThat(fleet.allSeeAll()).isFalse();
    }

    /** Guards against members that stay dead after a cut that no third zone could bridge. */
    @Property(seed = "7102", tries = 10)
    void everybodyReturnsAfterTheCutHeals(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = settled(false, seed, 2, 1, 10);
        fleet.cut("z0", "z1");
        fleet.run(FleetFake.seconds(40));
        fleet.heal();
        fleet.run(FleetFake.seconds(20));
        assertThat(fleet.allSeeAll()).isTrue();
    }

    /** Guards against false deaths from loss, duplicates, reordering and pauses, and against missed real deaths. */
    @Property(seed = "7103", tries = 15)
    void noisyLinkKillsNobodyForGood(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = settled(false, seed, 3, 1, 12);
        fleet.loss = 0.2;
        fleet.duplicates = 0.2;
        fleet.jitterMillis = 150;
        FleetFake.Node paused = fleet.nodes.get(seed % 12);
        paused.paused = true;
        fleet.run(FleetFake.seconds(15));
        assertThat(sightings(fleet, paused)).isZero();
        paused.resume();
        fleet.run(FleetFake.seconds(20));
        assertThat(sightings(fleet, paused)).isEqualTo(11);
        assertThat(fleet.violations).isEmpty();
    }

    /** Guards against a restarted daemon that is taken for its predecessor at the same address. */
    @Property(seed = "7104", tries = 15)
    void restartAtTheSameAddressReplacesTheOldIncarnation(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = settled(false, seed, 3, 1, 12);
        FleetFake.Node node = fleet.nodes.get(seed % 12);
        IncarnationId old = node.members.self().incarnation();
        node.kill();
        fleet.run(seed % 7_000);
        node.start();
        fleet.run(FleetFake.seconds(10));
        assertThat(fleet.allSeeAll()).isTrue();
        for (FleetFake.Node other : fleet.nodes) {
            assertThat(other.members.view().contains(old)).isFalse();
        }
    }

    /** Guards against an address answer that still names a leaving daemon after the news had 3 s to spread. */
    @Property(seed = "7105", tries = 15)
    void leavingDaemonIsGoneFromEveryAddressAnswer(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = settled(false, seed, 3, 1, 17);
        fleet.loss = 0.05;
        FleetFake.Node leaving = fleet.nodes.get(seed % 17);
        leaving.leave();
        fleet.run(FleetFake.seconds(3));
        for (int second = 0; second < 15; second++) {
            assertThat(sightings(fleet, leaving)).isZero();
            assertThat(leaving.lists(leaving)).isFalse();
            fleet.run(1_000);
        }
    }

    /** Guards against the news of a leaving daemon that waits behind the joins of a cold start until answers expire. */
    @Example
    void leavingAfterAColdStartIsKnownBeforeAnswersExpire() {
        FleetFake fleet = new FleetFake(false, 7108, 3, 1, 110);
        fleet.run(FleetFake.seconds(4));
        for (FleetFake.Node leaving : fleet.nodes.subList(20, 30)) {
            leaving.leave();
            fleet.run(FleetFake.seconds(10));
            assertThat(sightings(fleet, leaving)).isZero();
        }
    }

    /** Guards against regions that don't find each other again after their dead members were forgotten. */
    @Example
    void regionsRejoinAfterAnHour() {
        FleetFake fleet = settled(false, 7106, 4, 2, 16);
        for (String pair : List.of("z0>z1", "z0>z3", "z2>z1", "z2>z3", "z1>z0", "z3>z0", "z1>z2", "z3>z2")) {
            fleet.cut(pair.substring(0, 2), pair.substring(3));
        }
        fleet.run(FleetFake.seconds(3_600));
        assertThat(fleet.nodes.get(0).members.view().live()).hasSize(8);
        fleet.heal();
        fleet.run(FleetFake.seconds(20));
        assertThat(fleet.allSeeAll()).isTrue();
    }
}
