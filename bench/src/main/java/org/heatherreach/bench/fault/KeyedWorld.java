package org.heatherreach.bench.fault;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.heatherreach.coordination.atmostonce.ExecutionAction;
import org.heatherreach.coordination.atmostonce.ExecutionKey;
import org.heatherreach.coordination.atmostonce.ExecutionLimits;
import org.heatherreach.coordination.atmostonce.ExecutionRecords;
import org.heatherreach.coordination.atmostonce.IntentAck;
import org.heatherreach.coordination.atmostonce.KeyAttempt;
import org.heatherreach.coordination.atmostonce.KeyExecutor;
import org.heatherreach.coordination.atmostonce.KeyIssuer;
import org.heatherreach.coordination.atmostonce.NaiveExecutionRecords;
import org.heatherreach.coordination.atmostonce.NaiveOutcomeLookup;
import org.heatherreach.coordination.atmostonce.OutcomeAnswer;
import org.heatherreach.coordination.atmostonce.OutcomeLookup;
import org.heatherreach.coordination.atmostonce.OutcomeQuery;
import org.heatherreach.coordination.atmostonce.OutcomeResolver;
import org.heatherreach.coordination.atmostonce.RecordedAnswer;
import org.heatherreach.coordination.atmostonce.WitnessRecords;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.rank.Rank;

/**
 * One keyed request of rank urgent, which its caller sends again after a short wait, after faults were detected, and
 * after they ended. Checks each run of each key, each "not run" and each answer. Confined to one thread.
 */
final class KeyedWorld extends FaultWorld {
    private static final int DAEMONS = 9;
    private static final int EXECUTOR = 0;
    private static final long FINGERPRINT = 42;
    /** A silent daemon is no longer a member after a ping, its repeat and a suspicion. */
    private static final long DETECTION_MILLIS = 5_000;

    private static final long FORWARD_TIMEOUT_MILLIS = 1_000;
    private static final int RUN_MILLIS = 30;
    private static final int CRASH_MILLIS = 20;
    private static final int FLOOD_REQUESTS = 600;
    private static final int FLOOD_GAP_MILLIS = 2;
    private static final double FLOOD_SHEDDING = 0.3;
    /** Room for fewer records than a flood brings. */
    private static final ExecutionLimits LIMITS = new ExecutionLimits(
            TimeUnit.MINUTES.toNanos(10), TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(3), 200, 300, 1L << 20);

    private final List<Node> nodes = new ArrayList<>();
    private final Map<RequestId, Integer> entries = new HashMap<>();
    private final Map<RequestId, ExecutionKey> keys = new HashMap<>();
    private final Map<RequestId, Object> answers = new HashMap<>();
    private final Map<ExecutionKey, Integer> runs = new HashMap<>();
    private final Set<RequestId> ran = new HashSet<>();
    private final Set<RequestId> toldNotRun = new HashSet<>();
    private final Set<ExecutionKey> barred = new HashSet<>();
    private ExecutionKey key;
    private int other = 4;
    private int requests;
    private boolean crashing;
    private Rank flooded;

    KeyedWorld(boolean naive, long seed) {
        super(naive, seed, DAEMONS);
        for (int i = 0; i < DAEMONS; i++) {
            nodes.add(new Node(i));
        }
        for (int i = 0; i < DAEMONS; i++) {
            start(i);
        }
    }

    @Override
    void run() {
        other = List.of(4, 5, 8).get(random.nextInt(3));
        int entry = random.nextInt(3) == 0 ? 7 : EXECUTOR;
        long resendMillis = 60 + random.nextInt(240);
        advance(200);
        key = nodes.get(EXECUTOR).issue();
        arm();
        reach(Step.KEY_ISSUED);
        List<RequestId> sends = new ArrayList<>();
        sends.add(submit(entry, key, null));
        advance(resendMillis);
        sends.add(submit(other, key, Step.RESENT));
        advance(7_000);
        sends.add(submit(other, key, Step.RESENT));
        advance(10_000);
        disarm();
        repairAll();
        crashing = false;
        flooded = null;
        advance(500);
        List<RequestId> last = new ArrayList<>();
        for (int node : List.of(EXECUTOR, other)) {
            if (isRunning(node)) {
                last.add(submit(node, key, null));
            }
        }
        advance(5_000);
        for (RequestId send : last) {
            if (!answers.containsKey(send)) {
                violate(send + " had no answer 5 s after the fault");
            }
        }
        if (allBegun()) {
            sends.forEach(send -> note(send + ": " + answers.get(send)));
        }
    }

    @Override
    List<Integer> victims() {
        return List.of(EXECUTOR, indexOf(key.firstWitness(), 3), indexOf(key.secondWitness(), 1), other);
    }

    @Override
    FaultNode node(int index) {
        return nodes.get(index);
    }

    @Override
    void lapse(int victim) {
        pauseFor(victim, TimeUnit.NANOSECONDS.toMillis(LIMITS.activityTimeoutNanos()) + 50);
    }

    @Override
    void crashServers(boolean begins) {
        crashing = begins;
    }

    @Override
    void flood(Rank rank, boolean begins) {
        flooded = begins ? rank : null;
        for (int i = 0; begins && i < FLOOD_REQUESTS; i++) {
            after(i * FLOOD_GAP_MILLIS, () -> {
                if (flooded != null && isRunning(EXECUTOR)) {
                    submit(EXECUTOR, nodes.get(EXECUTOR).issue(), null);
                }
            });
        }
    }

    /** The request is urgent, so the less urgent a flood is, the less it has to wait for a slot. */
    private long slotWaitMillis() {
        if (flooded == null) {
            return 5;
        }
        return switch (flooded) {
            case URGENT -> 300;
            case STANDARD -> 60;
            case BULK -> 20;
        };
    }

    private RequestId submit(int entry, ExecutionKey sent, Step step) {
        RequestId request = new RequestId("send-" + requests++);
        entries.put(request, entry);
        keys.put(request, sent);
        arrive(entry, 1, step, () -> nodes.get(entry).accept(sent, request, true));
        return request;
    }

    private int indexOf(IncarnationId incarnation, int fallback) {
        for (Node node : nodes) {
            if (node.self.incarnation().equals(incarnation)) {
                return node.index;
            }
        }
        return fallback;
    }

    private MemberView view() {
        return new MemberView(IntStream.range(0, DAEMONS)
                .filter(node -> silentMillis(node) < DETECTION_MILLIS)
                .mapToObj(node -> nodes.get(node).self)
                .toList());
    }

    /** The request is on its way to a server and runs there whatever happens to the executor. */
    private void dispatch(Node executor, ExecutionAction.Dispatch dispatch) {
        boolean shed = flooded != null && random.nextDouble() < FLOOD_SHEDDING;
        KeyAttempt attempt = dispatch.attempt();
        boolean watched = attempt.key().equals(key);
        at(1, watched ? Step.DISPATCHED : null, () -> {
            boolean crash = crashing && watched;
            if (!shed) {
                serve(attempt.key(), dispatch.request());
            }
            executor.await(crash ? CRASH_MILLIS : RUN_MILLIS, watched ? Step.BACKEND_ANSWERED : null, () -> {
                if (shed) {
                    executor.end(
                            dispatch,
                            RefusalReason.SERVERS_SHED,
                            executor.records.refuse(attempt, RefusalReason.SERVERS_SHED, nowNanos));
                } else if (crash || crashing && watched) {
                    executor.end(
                            dispatch,
                            RefusalReason.SERVER_LOST,
                            executor.records.endUnknown(attempt, RefusalReason.SERVER_LOST, nowNanos));
                } else {
                    RecordedAnswer answer = new RecordedAnswer(200, "", bytes(attempt.key()), true);
                    executor.perform(executor.records.complete(attempt, answer, nowNanos));
                    executor.reply(dispatch.request(), answer);
                    if (naive && watched) {
                        executor.await(1, Step.OUTCOME_COPIED, () -> {});
                    }
                }
            });
        });
    }

    private void at(long millis, Step step, Runnable action) {
        after(millis, () -> {
            if (step != null) {
                reach(step);
            }
            action.run();
        });
    }

    private void serve(ExecutionKey served, RequestId request) {
        int count = runs.merge(served, 1, Integer::sum);
        if (count > 1) {
            violate(served + " ran " + count + " times");
        }
        if (barred.contains(served)) {
            violate(served + " ran after it was barred");
        }
        ran.add(request);
        if (toldNotRun.contains(request)) {
            violate(request + " ran after its caller was told \"not run\"");
        }
    }

    /** Checks what a daemon says when it says it; by its arrival the caller may have sent the key again. */
    private void checkSaid(RequestId request, Object answer) {
        ExecutionKey asked = keys.get(request);
        boolean hasRun = runs.containsKey(asked);
        if (answer instanceof RefusalReason reason) {
            if (reason.outcome() == Outcome.NOT_RUN && hasRun) {
                violate("\"not run\" (" + reason + ") said for " + asked + ", which ran");
            }
        } else if (!hasRun) {
            violate("answer of a server for " + asked + ", which never ran");
        }
    }

    private void answer(RequestId request, Object answer) {
        if (!isUp(entries.get(request)) || answers.putIfAbsent(request, answer) != null) {
            return;
        }
        ExecutionKey asked = keys.get(request);
        if (answer instanceof RecordedAnswer recorded) {
            if (!new String(recorded.body(), StandardCharsets.UTF_8).equals(asked.toString())) {
                violate("answer of another key for " + asked);
            }
            return;
        }
        RefusalReason reason = (RefusalReason) answer;
        if (reason.outcome() == Outcome.NOT_RUN) {
            toldNotRun.add(request);
            if (ran.contains(request)) {
                violate("\"not run\" (" + reason + ") for " + request + ", which ran");
            }
            if (reason == RefusalReason.KEY_BARRED) {
                barred.add(asked);
                if (runs.containsKey(asked)) {
                    violate("\"not run\" (" + reason + ") for " + asked + ", which ran");
                }
            }
        }
    }

    private static byte[] bytes(ExecutionKey key) {
        return key.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** One daemon. */
    private final class Node implements FaultNode {
        private final int index;
        private final Set<RequestId> forwarded = new HashSet<>();
        private Member self;
        private KeyExecutor records;
        private WitnessRecords witness;
        private OutcomeLookup lookups;
        private KeyIssuer issuer;

        Node(int index) {
            this.index = index;
        }

        @Override
        public void start() {
            self = new Member(
                    new DaemonId("daemon-" + index),
                    new IncarnationId(random.nextLong() | 1),
                    0,
                    MemberState.ALIVE,
                    new ZoneId("z" + index % 3),
                    new RegionId("r0"),
                    new MemberAddress("10.0.0." + (index + 1), 7_000),
                    8_000,
                    0);
            records = naive ? new NaiveExecutionRecords() : new ExecutionRecords(self.incarnation(), LIMITS, nowNanos);
            witness = new WitnessRecords(self.incarnation(), LIMITS);
            lookups = naive ? new NaiveOutcomeLookup() : new OutcomeResolver();
            issuer = new KeyIssuer(self, LIMITS, new Random(random.nextLong()));
            forwarded.clear();
        }

        private ExecutionKey issue() {
            return issuer.issue(view(), nowNanos).orElseThrow();
        }

        @Override
        public void tick() {
            boolean heard = IntStream.range(0, DAEMONS)
                    .anyMatch(peer -> peer != index && isRunning(peer) && !isCut(index, peer) && !isCut(peer, index));
            if (heard) {
                records.extendActivityDeadline(nowNanos - MILLIS);
            }
            perform(records.tick(nowNanos));
            witness.tick(nowNanos);
            perform(lookups.tick(nowNanos));
        }

        private void await(long millis, Step step, Runnable action) {
            later(index, millis, step, action);
        }

        private boolean sendTo(IncarnationId to, Step step, Runnable action) {
            int target = indexOf(to, -1);
            return target >= 0 && send(index, target, true, step, action);
        }

        private void accept(ExecutionKey sent, RequestId request, boolean mayForward) {
            if (sent.issuer().equals(self.incarnation())) {
                perform(records.begin(sent, FINGERPRINT, request, nowNanos));
                return;
            }
            int executor = indexOf(sent.issuer(), -1);
            boolean forwards = mayForward
                    && view().contains(sent.issuer())
                    && sendTo(sent.issuer(), null, () -> nodes.get(executor).accept(sent, request, false));
            if (forwards) {
                forwarded.add(request);
                await(FORWARD_TIMEOUT_MILLIS, null, () -> {
                    if (forwarded.remove(request)) {
                        lookUp(sent, request);
                    }
                });
            } else {
                lookUp(sent, request);
            }
        }

        private void lookUp(ExecutionKey sent, RequestId request) {
            perform(lookups.begin(sent, OptionalLong.of(FINGERPRINT), request, view(), nowNanos));
        }

        private void reply(RequestId request, Object answer) {
            checkSaid(request, answer);
            int entry = entries.get(request);
            if (entry == index) {
                answer(request, answer);
            } else {
                sendTo(nodes.get(entry).self.incarnation(), null, () -> {
                    if (nodes.get(entry).forwarded.remove(request)) {
                        answer(request, answer);
                    }
                });
            }
        }

        /** The naive version reports nothing about an attempt that ended without an answer. */
        private void end(ExecutionAction.Dispatch dispatch, RefusalReason reason, List<ExecutionAction> actions) {
            perform(actions);
            if (naive) {
                reply(dispatch.request(), reason);
            }
        }

        private void perform(List<ExecutionAction> actions) {
            for (ExecutionAction action : actions) {
                if (action instanceof ExecutionAction.Admit admit) {
                    prepare(admit);
                } else if (action instanceof ExecutionAction.SendIntent intent) {
                    sendIntent(intent);
                } else if (action instanceof ExecutionAction.Dispatch dispatch) {
                    dispatch(this, dispatch);
                } else if (action instanceof ExecutionAction.SendOutcome outcome) {
                    Step step = outcome.copy().attempt().key().equals(key) ? Step.OUTCOME_COPIED : null;
                    Node to = nodes.get(indexOf(outcome.witness(), 0));
                    sendTo(outcome.witness(), step, () -> to.witness.record(outcome.copy(), nowNanos));
                } else if (action instanceof ExecutionAction.Replay replay) {
                    reply(replay.request(), replay.answer());
                } else if (action instanceof ExecutionAction.Refuse refuse) {
                    reply(refuse.request(), refuse.reason());
                } else if (action instanceof ExecutionAction.SendQuery query) {
                    sendQuery(query);
                } else if (action instanceof ExecutionAction.RunAgain again) {
                    perform(records.begin(again.key(), FINGERPRINT, again.request(), nowNanos));
                }
            }
        }

        /** The naive version has no witnesses; its faults begin where the product would ask them. */
        private void prepare(ExecutionAction.Admit admit) {
            KeyAttempt attempt = admit.attempt();
            if (naive && attempt.key().equals(key)) {
                await(
                        slotWaitMillis(),
                        Step.INTENT_SENT,
                        () -> await(
                                2, Step.INTENT_ACKNOWLEDGED, () -> perform(records.onSlotGranted(attempt, nowNanos))));
            } else {
                await(slotWaitMillis(), null, () -> perform(records.onSlotGranted(attempt, nowNanos)));
            }
        }

        private void sendIntent(ExecutionAction.SendIntent intent) {
            boolean watched = intent.intent().attempt().key().equals(key);
            IncarnationId own = self.incarnation();
            int to = indexOf(intent.witness(), -1);
            sendTo(intent.witness(), watched ? Step.INTENT_SENT : null, () -> {
                IntentAck ack = nodes.get(to).witness.handleIntent(intent.intent(), nowNanos);
                nodes.get(to)
                        .sendTo(
                                own,
                                watched ? Step.INTENT_ACKNOWLEDGED : null,
                                () -> perform(records.acknowledge(intent.witness(), ack, nowNanos)));
            });
        }

        private void sendQuery(ExecutionAction.SendQuery send) {
            int to = indexOf(send.to(), -1);
            IncarnationId own = self.incarnation();
            boolean sent = sendTo(send.to(), null, () -> {
                Node asked = nodes.get(to);
                OutcomeQuery query = send.query();
                OutcomeAnswer answer = query.key().issuer().equals(send.to())
                        ? asked.records.handleQuery(query, nowNanos)
                        : asked.witness.handleQuery(query, nowNanos);
                asked.sendTo(own, null, () -> perform(lookups.handleAnswer(send.to(), answer, nowNanos)));
            });
            if (!sent) {
                perform(lookups.handleQueryFailure(send.to(), send.query().key(), nowNanos));
            }
        }
    }
}
