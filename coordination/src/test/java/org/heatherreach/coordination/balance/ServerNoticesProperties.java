package org.heatherreach.coordination.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import io.vavr.control.Option;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

class ServerNoticesProperties {
    private static final ZoneId ZONE = new ZoneId("z");
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long MILLI_NANOS = 1_000_000L;
    private static final int STEPS = 300;
    private static final int SERVERS = 5;

    private final ServerPool pool = new ServerPool(ZONE, new SplittableRandom(3));
    private long ticket;

    // Guards against a request for a server that announced its end, or that asked for quiet, after it was listed
    // again, in whatever order answers, listings, restarts and peers' reports cross.
    @Property(seed = "2026120502", tries = 300)
    void neverUsesAServerAgainstItsNotice(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ServerPool tested = new ServerPool(ZONE, random.split());
        Map<ServerId, Long> incarnations = new HashMap<>();
        Set<PoolServer> left = new HashSet<>();
        Map<PoolServer, Long> quietDeadlines = new HashMap<>();
        Map<Long, PoolServer> running = new HashMap<>();
        long nowNanos = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextLong(300 * MILLI_NANOS);
            List<PoolAction> actions = new ArrayList<>();
            Long anyTicket = running.keySet().stream().findAny().orElse(null);
            switch (random.nextInt(6)) {
                case 0 -> actions.addAll(tested.replaceServers(list(incarnations, random), nowNanos));
                case 1 -> {
                    if (anyTicket != null) {
                        PoolServer server = running.get(anyTicket);
                        boolean leaving = random.nextInt(4) == 0;
                        long deadlineNanos = nowNanos + random.nextLong(2 * SECOND_NANOS);
                        actions.addAll(tested.recordNotice(
                                anyTicket, new ServerNotice(leaving, Option.some(deadlineNanos)), nowNanos));
                        quietDeadlines.merge(server, deadlineNanos, Math::max);
                        if (leaving) {
                            left.add(server);
                        }
                    }
                }
                case 2 -> {
                    if (anyTicket != null) {
                        running.remove(anyTicket);
                        PoolResult result = PoolResult.values()[random.nextInt(PoolResult.CANCELLED.ordinal() + 1)];
                        actions.addAll(tested.complete(anyTicket, result, nowNanos));
                    }
                }
                case 3 -> {
                    ServerId id = new ServerId("s" + random.nextInt(SERVERS));
                    tested.notePeerFailure(
                            9,
                            id,
                            incarnations.getOrDefault(id, 0L),
                            PoolResult.values()[random.nextInt(PoolResult.values().length)],
                            nowNanos);
                }
                case 4 -> actions.addAll(tested.tick(nowNanos));
                default ->
                    actions.addAll(tested.submit(
                            new PoolRequest(
                                    ++ticket,
                                    random.nextInt(3),
                                    random.nextBoolean(),
                                    false,
                                    nowNanos,
                                    nowNanos + random.nextLong(3 * SECOND_NANOS),
                                    Set.of()),
                            nowNanos));
            }
            for (PoolAction action : actions) {
                if (action instanceof PoolAction.Dispatch dispatch) {
                    PoolServer server =
                            server(dispatch.server().value(), incarnations.getOrDefault(dispatch.server(), 0L));
                    assertThat(left).as("seed %d step %d", seed, step).doesNotContain(server);
                    assertThat(quietDeadlines.getOrDefault(server, nowNanos) - nowNanos)
                            .as("seed %d step %d", seed, step)
                            .isLessThanOrEqualTo(0);
                    running.put(dispatch.ticket(), server);
                }
            }
        }
    }

    // Guards against parking requests until their deadline when every server has asked for quiet for longer, and
    // against a retry hint that sends the caller back before a server accepts requests.
    @Example
    void refusesAtOnceWhenEveryServerAsksForQuietForTooLong() {
        pool.replaceServers(List.of(server("a", 1), server("b", 1)), 0);
        noticeFromBoth(new ServerNotice(false, Option.some(5 * SECOND_NANOS)));
        assertThat(pool.submit(request(3 * SECOND_NANOS), MILLI_NANOS))
                .singleElement()
                .isInstanceOfSatisfying(PoolAction.Refuse.class, refusal -> {
                    assertThat(refusal.reason()).isEqualTo(RefusalReason.SERVERS_SHED);
                    assertThat(refusal.retryAfterMillis()).isGreaterThanOrEqualTo(4_999);
                });
    }

    // Guards against refusing a request that can still be served after the quiet, and against waiting on when the
    // servers extend it beyond the deadline.
    @Example
    void waitsForTheEndOfAShortQuiet() {
        pool.replaceServers(List.of(server("a", 1), server("b", 1)), 0);
        noticeFromBoth(new ServerNotice(false, Option.some(SECOND_NANOS)));
        assertThat(pool.submit(request(10 * SECOND_NANOS), MILLI_NANOS)).isEmpty();
        assertThat(pool.tick(900 * MILLI_NANOS)).isEmpty();
        assertThat(pool.tick(SECOND_NANOS + MILLI_NANOS)).singleElement().isInstanceOf(PoolAction.Dispatch.class);
    }

    // Guards against requests that wait until their deadline although the last server has announced its end.
    @Example
    void refusesWaitingRequestsWhenTheLastServerLeaves() {
        pool.replaceServers(List.of(server("a", 1)), 0);
        for (int i = 0; i < 3; i++) {
            pool.submit(request(100 * SECOND_NANOS), 0);
        }
        long running = ticket;
        assertThat(pool.submit(request(100 * SECOND_NANOS), 0)).isEmpty();
        assertThat(pool.recordNotice(running, new ServerNotice(true, Option.none()), MILLI_NANOS))
                .contains(new PoolAction.Report(new ServerId("a"), 1, PoolResult.LEAVING))
                .last()
                .isInstanceOfSatisfying(
                        PoolAction.Refuse.class,
                        refusal -> assertThat(refusal.reason()).isEqualTo(RefusalReason.NO_SERVER));
    }

    // Guards against a notice that is lost because the server was listed anew between the dispatch and the answer.
    @Example
    void appliesANoticeToAServerThatWasListedAnew() {
        pool.replaceServers(List.of(server("a", 1)), 0);
        pool.submit(request(100 * SECOND_NANOS), 0);
        pool.replaceServers(List.of(), MILLI_NANOS);
        pool.replaceServers(List.of(server("a", 1)), 2 * MILLI_NANOS);
        pool.recordNotice(ticket, new ServerNotice(true, Option.none()), 3 * MILLI_NANOS);
        assertThat(pool.submit(request(100 * SECOND_NANOS), 4 * MILLI_NANOS))
                .singleElement()
                .isInstanceOf(PoolAction.Refuse.class);
    }

    // Guards against avoiding a restarted server because its earlier start announced its end.
    @Example
    void usesALaterStartOfAServerThatLeft() {
        pool.replaceServers(List.of(server("a", 1)), 0);
        pool.submit(request(100 * SECOND_NANOS), 0);
        pool.recordNotice(ticket, new ServerNotice(true, Option.none()), MILLI_NANOS);
        pool.replaceServers(List.of(server("a", 1)), 2 * MILLI_NANOS);
        assertThat(pool.submit(request(100 * SECOND_NANOS), 3 * MILLI_NANOS))
                .singleElement()
                .isInstanceOf(PoolAction.Refuse.class);
        pool.replaceServers(List.of(server("a", 2)), 4 * MILLI_NANOS);
        assertThat(pool.submit(request(100 * SECOND_NANOS), 5 * MILLI_NANOS))
                .singleElement()
                .isInstanceOf(PoolAction.Dispatch.class);
    }

    // Guards against one daemon's report taking a server away from the whole fleet: it is a hint, so the server is used
    // when the others are full.
    @Example
    void usesAServerThatAPeerReportsAsLeavingOnlyWhenOthersAreFull() {
        pool.replaceServers(List.of(server("a", 1), server("b", 1)), 0);
        pool.notePeerFailure(7, new ServerId("a"), 1, PoolResult.LEAVING, 0);
        List<ServerId> used = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            PoolAction action =
                    pool.submit(request(100 * SECOND_NANOS), MILLI_NANOS).get(0);
            used.add(((PoolAction.Dispatch) action).server());
        }
        assertThat(used.subList(0, 3)).containsOnly(new ServerId("b"));
        assertThat(used.get(3)).isEqualTo(new ServerId("a"));
    }

    private void noticeFromBoth(ServerNotice notice) {
        for (int i = 0; i < 2; i++) {
            pool.submit(request(100 * SECOND_NANOS), 0);
        }
        assertThat(pool.recordNotice(ticket, notice, 0)).isEmpty();
        assertThat(pool.recordNotice(ticket - 1, notice, 0)).isEmpty();
        pool.cancel(ticket, 0);
        pool.cancel(ticket - 1, 0);
    }

    private static List<PoolServer> list(Map<ServerId, Long> incarnations, SplittableRandom random) {
        List<PoolServer> listed = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            ServerId id = new ServerId("s" + i);
            if (random.nextInt(8) == 0) {
                incarnations.merge(id, 1L, Long::sum);
            }
            if (random.nextInt(4) > 0) {
                listed.add(server(id.value(), incarnations.getOrDefault(id, 0L)));
            }
        }
        return listed;
    }

    private static PoolServer server(String id, long incarnation) {
        return new PoolServer(new ServerId(id), incarnation, ZONE, 3, 0);
    }

    private PoolRequest request(long deadlineNanos) {
        return new PoolRequest(++ticket, 1, true, false, 0, deadlineNanos, Set.of());
    }
}
