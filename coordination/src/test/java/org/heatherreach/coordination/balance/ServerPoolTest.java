package org.heatherreach.coordination.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

class ServerPoolTest {
    private static final ZoneId LOCAL_ZONE = new ZoneId("near");
    private static final ZoneId REMOTE_ZONE = new ZoneId("far");
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long MILLI_NANOS = 1_000_000L;

    private final ServerPool pool = new ServerPool(LOCAL_ZONE, new SplittableRandom(11));
    private long ticket;

    // Guards against sending a request that must not run twice to a server that has just failed another
    // request.
    @Example
    void avoidsAServerAfterItsFirstError() {
        pool.replaceServers(
                List.of(server("a", LOCAL_ZONE, 1), server("b", LOCAL_ZONE, 1), server("c", LOCAL_ZONE, 1)), 0);
        ServerId failing = dispatch(request(false), 0);
        pool.complete(ticket, PoolResult.ERROR, MILLI_NANOS);
        for (int i = 0; i < 50; i++) {
            assertThat(dispatch(request(false), 2 * MILLI_NANOS)).isNotEqualTo(failing);
            pool.complete(ticket, PoolResult.SUCCESS, 3 * MILLI_NANOS);
        }
    }

    // Guards against every daemon of the fleet sending requests to a failing server until it observes a failure
    // itself.
    @Example
    void avoidsAServerThatFailedAPeer() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", LOCAL_ZONE, 1)), 0);
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.ERROR, 0);
        assertThat(dispatch(request(false), MILLI_NANOS)).isEqualTo(new ServerId("b"));
    }

    // Guards against a log that grows with the failures of the whole fleet: only a report that changes what the daemon
    // believes is worth a line.
    @Example
    void tellsWhichReportsChangeTheState() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", LOCAL_ZONE, 1)), 0);
        ServerId a = new ServerId("a");
        assertThat(pool.notePeerFailure(7, a, 1, PoolResult.ERROR, 0)).isTrue();
        assertThat(pool.notePeerFailure(8, a, 1, PoolResult.ERROR, MILLI_NANOS)).isFalse();
        assertThat(pool.notePeerFailure(8, a, 2, PoolResult.SUCCESS, 2 * MILLI_NANOS))
                .isFalse();
        assertThat(pool.notePeerFailure(8, a, 1, PoolResult.SUCCESS, 3 * MILLI_NANOS))
                .isTrue();
        assertThat(pool.notePeerFailure(8, a, 1, PoolResult.SUCCESS, 4 * MILLI_NANOS))
                .isFalse();
        assertThat(pool.notePeerFailure(8, a, 1, PoolResult.LEAVING, 5 * MILLI_NANOS))
                .isTrue();
    }

    // Guards against a healthy server being avoided by all daemons because the network path of one daemon is
    // broken.
    @Example
    void countsAPathFailureOnlyWhenSeveralPeersReportIt() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", REMOTE_ZONE, 1)), 0);
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.UNREACHABLE, 0);
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.UNREACHABLE, MILLI_NANOS);
        assertThat(dispatch(request(false), 2 * MILLI_NANOS)).isEqualTo(new ServerId("a"));
        pool.complete(ticket, PoolResult.SUCCESS, 3 * MILLI_NANOS);
        pool.notePeerFailure(8, new ServerId("a"), 1, PoolResult.UNREACHABLE, 4 * MILLI_NANOS);
        pool.notePeerFailure(9, new ServerId("a"), 1, PoolResult.UNREACHABLE, 5 * MILLI_NANOS);
        assertThat(dispatch(request(false), 6 * MILLI_NANOS)).isEqualTo(new ServerId("b"));
    }

    // Guards against counting failures from an earlier start against a server that restarted under its old id.
    @Example
    void dropsFailuresOfAnEarlierStart() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", REMOTE_ZONE, 1)), 0);
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.ERROR, 0);
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 2), server("b", REMOTE_ZONE, 1)), MILLI_NANOS);
        assertThat(dispatch(request(false), 2 * MILLI_NANOS)).isEqualTo(new ServerId("a"));
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.ERROR, 3 * MILLI_NANOS);
        pool.complete(ticket, PoolResult.SUCCESS, 4 * MILLI_NANOS);
        assertThat(dispatch(request(false), 5 * MILLI_NANOS)).isEqualTo(new ServerId("a"));
    }

    // Guards against testing a suspected server with a request that must not run twice.
    @Example
    void triesASuspectedServerWithIdempotentRequestsFirst() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", LOCAL_ZONE, 1)), 0);
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.ERROR, 0);
        long later = 2 * SECOND_NANOS;
        for (int i = 0; i < 20; i++) {
            assertThat(dispatch(request(false), later)).isEqualTo(new ServerId("b"));
            pool.complete(ticket, PoolResult.SUCCESS, later);
        }
        assertThat(dispatch(request(true), later)).isEqualTo(new ServerId("a"));
    }

    // Guards against sending requests whose callers gave up while the VM of this daemon was suspended.
    @Example
    void refusesRequestsWhoseDeadlinePassedDuringASuspension() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1)), 0);
        for (int i = 0; i < 3; i++) {
            dispatch(request(false), 0);
        }
        submit(request(false), 0);
        long waiting = ticket;
        assertThat(pool.refuseLate(MILLI_NANOS)).isEmpty();
        assertThat(pool.refuseLate(3600 * SECOND_NANOS))
                .singleElement()
                .isInstanceOfSatisfying(
                        PoolAction.Refuse.class,
                        refusal -> assertThat(refusal.ticket()).isEqualTo(waiting));
    }

    // Guards against more requests at a server than it has slots. They would wait in the server's own queue behind
    // requests of all ranks.
    @Example
    void neverExceedsTheSlotsOfAServer() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", REMOTE_ZONE, 1)), 0);
        Map<ServerId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10; i++) {
            submit(request(false), 0).stream()
                    .filter(PoolAction.Dispatch.class::isInstance)
                    .forEach(action -> counts.merge(((PoolAction.Dispatch) action).server(), 1, Integer::sum));
        }
        assertThat(counts).containsEntry(new ServerId("a"), 3).containsEntry(new ServerId("b"), 3);
    }

    // Guards against a queue at a server whose slots are filled by requests of other daemons. The request waits in
    // the pool for the first free slot.
    @Example
    void waitsWhilePeersUseEverySlot() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", REMOTE_ZONE, 1)), 0);
        int a = ServerLoad.hashOf(new ServerId("a"));
        int b = ServerLoad.hashOf(new ServerId("b"));
        pool.notePeerLoads(Map.of(a, 3, b, 3), SECOND_NANOS, 0);
        assertThat(submit(request(false), 0)).isEmpty();
        assertThat(pool.notePeerLoads(Map.of(b, 2), SECOND_NANOS, MILLI_NANOS))
                .containsExactly(new PoolAction.Dispatch(ticket, new ServerId("b"), new ChoiceBasis(2, 3, 0)));
        assertThat(dispatch(request(false), 2 * SECOND_NANOS))
                .as("an old report has expired")
                .isNotNull();
    }

    // Guards against sending a request that must not run twice, such as a booking, to a partly failing server
    // because the healthy ones are full. The request waits for a slot instead.
    @Example
    void waitsRatherThanUseASuspectedServer() {
        pool.replaceServers(
                List.of(server("a", LOCAL_ZONE, 1), server("b", LOCAL_ZONE, 1), server("c", LOCAL_ZONE, 1)), 0);
        pool.notePeerFailure(7, new ServerId("c"), 1, PoolResult.ERROR, 0);
        List<Long> running = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            assertThat(dispatch(request(false), MILLI_NANOS)).isNotEqualTo(new ServerId("c"));
            running.add(ticket);
        }
        assertThat(submit(request(false), MILLI_NANOS)).isEmpty();
        long waiting = ticket;
        assertThat(pool.complete(running.get(0), PoolResult.SUCCESS, 2 * MILLI_NANOS))
                .singleElement()
                .isInstanceOfSatisfying(
                        PoolAction.Dispatch.class,
                        next -> assertThat(next.ticket()).isEqualTo(waiting));
    }

    // Guards against a fleet that stops serving because a short disturbance made most servers suspected.
    @Example
    void usesSuspectedServersWhenMostAreSuspected() {
        pool.replaceServers(
                List.of(server("a", LOCAL_ZONE, 1), server("b", LOCAL_ZONE, 1), server("c", LOCAL_ZONE, 1)), 0);
        for (String id : List.of("a", "b", "c")) {
            pool.notePeerFailure(7, new ServerId(id), 1, PoolResult.ERROR, 0);
        }
        assertThat(dispatch(request(false), MILLI_NANOS)).isNotNull();
    }

    // Guards against using all suspected servers as soon as more than half of them are suspected. At high load with
    // two in five servers failing, a single error at a healthy one would otherwise send requests to the failing
    // ones again.
    @Example
    void usesTheLeastSuspectedHalfWhenMostAreSuspected() {
        pool.replaceServers(
                List.of(
                        server("a", LOCAL_ZONE, 1),
                        server("b", LOCAL_ZONE, 1),
                        server("c", LOCAL_ZONE, 1),
                        server("d", LOCAL_ZONE, 1)),
                0);
        for (String id : List.of("a", "b", "c", "a", "b")) {
            pool.notePeerFailure(7, new ServerId(id), 1, PoolResult.ERROR, 0);
        }
        for (int i = 0; i < 6; i++) {
            assertThat(dispatch(request(false), MILLI_NANOS)).isIn(new ServerId("c"), new ServerId("d"));
        }
        assertThat(submit(request(false), MILLI_NANOS)).isEmpty();
    }

    // Guards against sending many requests at once to a suspected server before it is known to work again.
    @Example
    void triesASuspectedServerWithOneRequestAtATime() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", REMOTE_ZONE, 1)), 0);
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.ERROR, 0);
        List<ServerId> used = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            used.add(dispatch(request(true), 2 * SECOND_NANOS));
        }
        assertThat(used).filteredOn(new ServerId("a")::equals).hasSize(1);
    }

    // Guards against every daemon having to test a suspected server itself. The first success is reported to the
    // peers.
    @Example
    void reportsToPeersThatASuspectedServerWorksAgain() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1)), 0);
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.ERROR, 0);
        dispatch(request(true), 2 * SECOND_NANOS);
        assertThat(pool.complete(ticket, PoolResult.SUCCESS, 2 * SECOND_NANOS + MILLI_NANOS))
                .contains(new PoolAction.Report(new ServerId("a"), 1, PoolResult.SUCCESS));
    }

    // Guards against detecting a failing server by requests that cannot be repeated, such as bookings. Idempotent
    // requests go first to a server without a recent answer.
    @Example
    void sendsIdempotentRequestsToServersWithoutARecentAnswer() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", LOCAL_ZONE, 1)), 0);
        pool.notePeerAnswers(Set.of(ServerLoad.hashOf(new ServerId("a"))), 2 * SECOND_NANOS);
        assertThat(dispatch(request(false), 2 * SECOND_NANOS)).isEqualTo(new ServerId("a"));
        assertThat(dispatch(request(true), 2 * SECOND_NANOS)).isEqualTo(new ServerId("b"));
    }

    // Guards against a flood of the least urgent rank delaying an urgent request, which gets the first free slot
    // even if it arrives later.
    @Example
    void givesAFreedSlotToTheMostUrgentRequest() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1)), 0);
        List<Long> running = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            dispatch(request(true, 2, 100 * SECOND_NANOS), 0);
            running.add(ticket);
        }
        submit(request(true, 2, 100 * SECOND_NANOS), 0);
        submit(request(true, 0, 100 * SECOND_NANOS), 0);
        long urgent = ticket;
        List<PoolAction> actions = pool.complete(running.get(0), PoolResult.SUCCESS, MILLI_NANOS);
        assertThat(actions).contains(new PoolAction.Dispatch(urgent, new ServerId("a"), new ChoiceBasis(2, 3, 0)));
    }

    // Guards against queueing a request whose deadline passes before a slot becomes free.
    @Example
    void refusesRequestsThatCannotMeetTheirDeadline() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1)), 0);
        for (int i = 0; i < 3; i++) {
            dispatch(request(true, 0, 100 * SECOND_NANOS), 0);
        }
        assertThat(submit(request(true, 0, 100 * MILLI_NANOS), 0))
                .singleElement()
                .isInstanceOfSatisfying(
                        PoolAction.Refuse.class,
                        refusal -> assertThat(refusal.reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE));
    }

    // Guards against queueing low-priority requests, such as rechecks, until their deadline during a long overload.
    // While earlier ones are backed up behind urgent requests, they are refused on arrival.
    @Example
    void refusesOnArrivalWhileEarlierRequestsAreBackedUp() {
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1)), 0);
        for (int i = 0; i < 3; i++) {
            dispatch(request(true, 0, 100 * SECOND_NANOS), 0);
        }
        assertThat(submit(request(true, 2, 10 * SECOND_NANOS), 0)).isEmpty();
        assertThat(submit(request(true, 2, 12 * SECOND_NANOS), 2 * SECOND_NANOS))
                .isEmpty();
        assertThat(submit(request(true, 2, 14 * SECOND_NANOS), 4 * SECOND_NANOS))
                .singleElement()
                .isInstanceOf(PoolAction.Refuse.class);
        assertThat(submit(request(true, 1, 14 * SECOND_NANOS), 4 * SECOND_NANOS))
                .as("more urgent work")
                .isEmpty();
    }

    // Guards against large answers crossing zones while a server of the local zone has room.
    @Example
    void keepsLargeAnswersInTheZone() {
        pool.replaceServers(
                List.of(server("a", LOCAL_ZONE, 1), server("b", REMOTE_ZONE, 1), server("c", REMOTE_ZONE, 1)), 0);
        for (int i = 0; i < 3; i++) {
            PoolRequest large = new PoolRequest(++ticket, 0, true, true, 0, 100 * SECOND_NANOS, Set.of());
            assertThat(dispatch(large, 0)).isEqualTo(new ServerId("a"));
        }
    }

    // Guards against a daemon that leaves its share of the slots unused because old reports show the servers as full,
    // and
    // against one that uses the slots of others while its own are free.
    @Example
    void usesItsShareOfTheSlotsFirst() {
        DaemonId self = new DaemonId("self");
        pool.replaceDaemons(self, List.of(self, new DaemonId("peer"), new DaemonId("third")));
        pool.replaceServers(List.of(server("a", LOCAL_ZONE, 1), server("b", LOCAL_ZONE, 1)), 0);
        List<ServerId> used = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            used.add(dispatch(request(false), 0));
        }
        assertThat(used).as("one slot of each server").doesNotHaveDuplicates();
        pool.complete(ticket, PoolResult.SUCCESS, MILLI_NANOS);
        int a = ServerLoad.hashOf(new ServerId("a"));
        int b = ServerLoad.hashOf(new ServerId("b"));
        pool.notePeerLoads(Map.of(a, 3, b, 3), SECOND_NANOS, MILLI_NANOS);
        assertThat(dispatch(request(false), 2 * MILLI_NANOS)).isEqualTo(used.get(1));
        assertThat(submit(request(false), 2 * MILLI_NANOS))
                .as("the slots of others are full")
                .isEmpty();
    }

    private static PoolServer server(String id, ZoneId zone, long incarnation) {
        return new PoolServer(new ServerId(id), incarnation, zone, 3, 0);
    }

    private PoolRequest request(boolean idempotent) {
        return request(idempotent, 1, 100 * SECOND_NANOS);
    }

    private PoolRequest request(boolean idempotent, int priority, long deadlineNanos) {
        return new PoolRequest(++ticket, priority, idempotent, false, 0, deadlineNanos, Set.of());
    }

    private List<PoolAction> submit(PoolRequest request, long nowNanos) {
        return pool.submit(request, nowNanos);
    }

    private ServerId dispatch(PoolRequest request, long nowNanos) {
        List<PoolAction> actions = submit(request, nowNanos);
        assertThat(actions).singleElement().isInstanceOf(PoolAction.Dispatch.class);
        return ((PoolAction.Dispatch) actions.get(0)).server();
    }
}
