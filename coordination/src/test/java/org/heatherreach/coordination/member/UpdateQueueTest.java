package org.heatherreach.coordination.member;

import java.util.List;

import net.jqwik.api.Example;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

class UpdateQueueTest {
    /** Guards against a departure, a suspicion or a refutation that is sent only after hundreds of joins. */
    @Example
    void urgentUpdatesOvertakeJoins() {
        UpdateQueue queue = new UpdateQueue();
        for (int i = 1; i <= 800; i++) {
            queue.add(member(i, 0, MemberState.ALIVE), 20);
        }
        Member refuting = member(801, 1, MemberState.ALIVE);
        Member suspect = member(802, 0, MemberState.SUSPECT);
        Member leaving = member(803, 1, MemberState.LEAVING);
        List.of(refuting, suspect, leaving).forEach(update -> queue.add(update, 20));
        assertThat(queue.take(3, MemberPacket.SIZE_LIMIT_BYTES)).containsExactly(leaving, refuting, suspect);
    }

    /** Guards against a full queue that drops urgent updates in favour of joins. */
    @Example
    void fullQueueDropsJoinsFirst() {
        UpdateQueue queue = new UpdateQueue();
        Member leaving = member(1, 1, MemberState.LEAVING);
        queue.add(leaving, 20);
        for (int i = 2; i <= 2_000; i++) {
            queue.add(member(i, 0, MemberState.ALIVE), 20);
        }
        assertThat(queue.droppedUpdates()).isPositive();
        assertThat(queue.take(1, MemberPacket.SIZE_LIMIT_BYTES)).containsExactly(leaving);
    }

    private static Member member(int number, int counter, MemberState state) {
        return new Member(
                new DaemonId("daemon-" + number),
                new IncarnationId(number),
                counter,
                state,
                new ZoneId("zone"),
                new RegionId("region"),
                new MemberAddress("10.0.0.1", 7_000),
                8_000,
                0);
    }
}
