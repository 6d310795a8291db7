package org.heatherreach.coordination.table;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherreach.state.id.IncarnationId;

import static org.assertj.core.api.Assertions.assertThat;

class MemberFleetProperties {
    private static FleetFake convergedFleet(boolean naive, long seed, int zones, int regions, int count) {
        FleetFake fleet = new FleetFake(naive, seed, zones, regions, count);
        fleet.run(FleetFake.seconds(10));
        assertThat(fleet.allViewsComplete()).isTrue();
        return fleet;
    }

    private static long countLiveListings(FleetFake fleet, FleetFake.Node listed) {
        return fleet.nodes.stream()
                .filter(node -> node != listed && node.listsAsLive(listed))
                .count();
    }

    /** Guards against a daemon that is declared dead although members in a third zone can reach it. */
    @Property(seed = "7101", tries = 15)
    void oneWayCutCausesNoDeath(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = convergedFleet(false, seed, 3, 1, 12);
        fleet.cut("z0", "z1");
        for (int second = 0; second < 60; second++) {
            fleet.run(1_000);
            assertThat(fleet.allViewsComplete()).isTrue();
        }
    }

    /** Guards against a simulation that detects no false deaths: without indirect pings the same cut causes them. */
    @Example
    void naiveListDeclaresDeathsUnderOneWayCut() {
        FleetFake fleet = convergedFleet(true, 7101, 3, 1, 12);
        fleet.cut("z0", "z1");
        fleet.run(FleetFake.seconds(20));
        assertThat(fleet.allViewsComplete()).isFalse();
    }

    /**
     * Guards against members that stay dead after a cut between the only two zones, where no third zone can relay
     * pings.
     */
    @Property(seed = "7102", tries = 10)
    void allMembersReturnAfterTheCutHeals(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = convergedFleet(false, seed, 2, 1, 10);
        fleet.cut("z0", "z1");
        fleet.run(FleetFake.seconds(40));
        fleet.heal();
        fleet.run(FleetFake.seconds(20));
        assertThat(fleet.allViewsComplete()).isTrue();
    }

    /**
     * Guards against lasting false deaths after loss, duplicates, reordering and pauses, and against undetected deaths.
     */
    @Property(seed = "7103", tries = 15)
    void lossyLinkCausesNoLastingFalseDeath(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = convergedFleet(false, seed, 3, 1, 12);
        fleet.loss = 0.2;
        fleet.duplication = 0.2;
        fleet.jitterMillis = 150;
        FleetFake.Node paused = fleet.nodes.get(seed % 12);
        paused.paused = true;
        fleet.run(FleetFake.seconds(15));
        assertThat(countLiveListings(fleet, paused)).isZero();
        paused.resume();
        fleet.run(FleetFake.seconds(20));
        assertThat(countLiveListings(fleet, paused)).isEqualTo(11);
        assertThat(fleet.violations).isEmpty();
    }

    /** Guards against a restarted daemon that is confused with its previous incarnation at the same address. */
    @Property(seed = "7104", tries = 15)
    void restartAtTheSameAddressReplacesTheOldIncarnation(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = convergedFleet(false, seed, 3, 1, 12);
        FleetFake.Node node = fleet.nodes.get(seed % 12);
        IncarnationId old = node.members.self().incarnation();
        node.kill();
        fleet.run(seed % 7_000);
        node.start();
        fleet.run(FleetFake.seconds(10));
        assertThat(fleet.allViewsComplete()).isTrue();
        for (FleetFake.Node other : fleet.nodes) {
            assertThat(other.members.view().contains(old)).isFalse();
        }
    }

    /** Guards against an address answer that still lists a leaving daemon 3 s after its announcement. */
    @Property(seed = "7105", tries = 15)
    void leavingDaemonIsGoneFromEveryAddressAnswer(@ForAll @IntRange(min = 0, max = 99_999) int seed) {
        FleetFake fleet = convergedFleet(false, seed, 3, 1, 17);
        fleet.loss = 0.05;
        FleetFake.Node leaving = fleet.nodes.get(seed % 17);
        leaving.leave();
        fleet.run(FleetFake.seconds(3));
        for (int second = 0; second < 15; second++) {
            assertThat(countLiveListings(fleet, leaving)).isZero();
            assertThat(leaving.listsAsLive(leaving)).isFalse();
            fleet.run(1_000);
        }
    }

    /**
     * Guards against a leave announcement that is queued behind the joins of a cold start until address answers expire.
     */
    @Example
    void leavingAfterAColdStartIsKnownBeforeAnswersExpire() {
        FleetFake fleet = new FleetFake(false, 7108, 3, 1, 110);
        fleet.run(FleetFake.seconds(4));
        for (FleetFake.Node leaving : fleet.nodes.subList(20, 30)) {
            leaving.leave();
            fleet.run(FleetFake.seconds(10));
            assertThat(countLiveListings(fleet, leaving)).isZero();
        }
    }

    /**
     * Guards against regions that stay separated after a partition because the entries of the dead members are removed.
     */
    @Example
    void regionsRejoinAfterAnHour() {
        FleetFake fleet = convergedFleet(false, 7106, 4, 2, 16);
        for (String pair : List.of("z0>z1", "z0>z3", "z2>z1", "z2>z3", "z1>z0", "z3>z0", "z1>z2", "z3>z2")) {
            fleet.cut(pair.substring(0, 2), pair.substring(3));
        }
        fleet.run(FleetFake.seconds(3_600));
        assertThat(fleet.nodes.get(0).members.view().live()).hasSize(8);
        fleet.heal();
        fleet.run(FleetFake.seconds(20));
        assertThat(fleet.allViewsComplete()).isTrue();
    }
}
