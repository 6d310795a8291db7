package org.heatherreach.coordination.atmostonce;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

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

/**
 * Simulates callers, daemons, their links and a backend server on a virtual clock. The daemons run the classes under
 * test; each broken guarantee is added to {@link #violations}.
 */
final class SimulatedFleet {
    static final long NANOS_PER_MILLI = 1_000_000;
    static final long FINGERPRINT = 42;
    /** Time after which a stopped or paused daemon is no longer a member: a ping, its repeat and the suspicion time. */
    private static final long DETECTION_MILLIS = 5_000;

    private final boolean naive;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Set<String> cutLinks = new HashSet<>();
    private final Map<RequestId, Integer> entryNodes = new HashMap<>();
    private final Map<RequestId, ExecutionKey> keys = new HashMap<>();
    private final Set<ExecutionKey> barredKeys = new HashSet<>();
    private final ExecutionLimits limits;
    final List<Node> nodes = new ArrayList<>();
    final Map<ExecutionKey, Integer> runCounts = new HashMap<>();
    final Map<RequestId, Object> answers = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    long nowNanos = 1_000_000 * NANOS_PER_MILLI;
    int deliveryCount;
    /** Runs before each delivery of a message. */
    Runnable beforeDelivery = () -> {};

    int jitterMillis = 1;
    double duplicateProbability;
    double shedProbability;
    private long nextEventOrder;
    private int nextRequestNumber;

    SimulatedFleet(boolean naive, long seed, int daemonCount, ExecutionLimits limits) {
        this.naive = naive;
        this.random = new Random(seed);
        this.limits = limits;
        for (int i = 0; i < daemonCount; i++) {
            nodes.add(new Node(i));
        }
    }

    ExecutionKey issue(int node) {
        return nodes.get(node).issuer.issue(view(), nowNanos).orElseThrow();
    }

    /** Sends a request to a daemon. The answer is added to {@link #answers}. */
    RequestId send(int node, ExecutionKey key) {
        RequestId request = new RequestId("request-" + nextRequestNumber++);
        entryNodes.put(request, node);
        keys.put(request, key);
        deliver(node, null, () -> nodes.get(node).receive(key, request, true));
        return request;
    }

    Outcome outcome(RequestId request) {
        Object answer = answers.get(request);
        if (answer == null) {
            return null;
        }
        return answer instanceof RefusalReason reason ? reason.outcome() : Outcome.BACKEND;
    }

    int indexOf(IncarnationId incarnation) {
        for (Node node : nodes) {
            if (node.self.incarnation().equals(incarnation)) {
                return node.index;
            }
        }
        return -1;
    }

    void cutLink(int from, int to) {
        cutLinks.add(from + ">" + to);
    }

    void restoreLinks() {
        cutLinks.clear();
    }

    void run(long millis) {
        long end = nowNanos + millis * NANOS_PER_MILLI;
        while (nowNanos < end) {
            nowNanos += NANOS_PER_MILLI;
            while (!events.isEmpty() && events.peek().atNanos <= nowNanos) {
                Event event = events.poll();
                if (event.message) {
                    deliveryCount++;
                    beforeDelivery.run();
                }
                Node target = nodes.get(event.node);
                boolean recipientMatches = event.recipient == null || event.recipient.equals(target.self.incarnation());
                if (!target.up || !recipientMatches) {
                    continue;
                }
                if (target.paused) {
                    target.bufferedActions.add(event.action);
                } else {
                    event.action.run();
                }
            }
            if (nowNanos / NANOS_PER_MILLI % 100 == 0) {
                nodes.stream().filter(node -> node.up && !node.paused).forEach(Node::tick);
            }
        }
    }

    MemberView view() {
        return new MemberView(nodes.stream()
                .filter(node -> node.stoppedMillis() < DETECTION_MILLIS)
                .map(node -> node.self)
                .toList());
    }

    private void schedule(int node, long millis, Runnable action) {
        IncarnationId recipient = nodes.get(node).self.incarnation();
        events.add(new Event(nowNanos + millis * NANOS_PER_MILLI, nextEventOrder++, node, recipient, false, action));
    }

    private void deliver(int node, IncarnationId recipient, Runnable action) {
        int copies = recipient != null && random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long atNanos = nowNanos + (1 + random.nextInt(jitterMillis)) * NANOS_PER_MILLI;
            events.add(new Event(atNanos, nextEventOrder++, node, recipient, true, action));
        }
    }

    private void runOnServer(Node executor, KeyAttempt attempt) {
        boolean shedByServer = random.nextDouble() < shedProbability;
        if (!shedByServer) {
            int runCount = runCounts.merge(attempt.key(), 1, Integer::sum);
            if (runCount > 1) {
                violations.add("key " + attempt.key() + " ran " + runCount + " times");
            }
            if (barredKeys.contains(attempt.key())) {
                violations.add("key " + attempt.key() + " ran after it was barred");
            }
        }
        schedule(
                executor.index,
                30,
                () -> executor.perform(
                        shedByServer
                                ? executor.records.refuse(attempt, RefusalReason.SERVERS_SHED, nowNanos)
                                : executor.records.complete(
                                        attempt,
                                        new RecordedAnswer(
                                                200,
                                                "",
                                                attempt.key().toString().getBytes(StandardCharsets.UTF_8),
                                                true),
                                        nowNanos)));
    }

    private void checkAnswer(RequestId request, Object answer) {
        ExecutionKey key = keys.get(request);
        int entryNode = entryNodes.get(request);
        if (!nodes.get(entryNode).up) {
            return;
        }
        answers.putIfAbsent(request, answer);
        if (answer instanceof RefusalReason reason) {
            if (reason.outcome() == Outcome.NOT_RUN && reason != RefusalReason.INVALID_KEY) {
                if (runCounts.getOrDefault(key, 0) > 0) {
                    violations.add("\"not run\" (" + reason + ") for " + key + ", which ran");
                }
                if (reason == RefusalReason.KEY_BARRED) {
                    barredKeys.add(key);
                }
            }
        } else if (!new String(((RecordedAnswer) answer).body(), StandardCharsets.UTF_8).equals(key.toString())) {
            violations.add("answer of another key for " + key);
        }
    }

    private record Event(
            long atNanos, long order, int node, IncarnationId recipient, boolean message, Runnable action) {}

    /** A simulated daemon. A restart replaces its incarnation and all its records. */
    final class Node {
        final int index;
        private final List<Runnable> bufferedActions = new ArrayList<>();
        Member self;
        KeyExecutor records;
        WitnessRecords witness;
        private OutcomeLookup resolver;
        private KeyIssuer issuer;
        private final Map<RequestId, ExecutionKey> forwardedRequests = new HashMap<>();
        boolean up = true;
        boolean paused;
        private long stoppedNanos;

        Node(int index) {
            this.index = index;
            restart();
        }

        void restart() {
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
            records = naive ? new NaiveExecutionRecords() : new ExecutionRecords(self.incarnation(), limits, nowNanos);
            witness = new WitnessRecords(self.incarnation(), limits);
            resolver = naive ? new NaiveOutcomeLookup() : new OutcomeResolver();
            issuer = new KeyIssuer(self, limits, new Random(index));
            forwardedRequests.clear();
            bufferedActions.clear();
            up = true;
            paused = false;
        }

        void kill() {
            up = false;
            stoppedNanos = nowNanos;
            bufferedActions.clear();
        }

        void pause() {
            paused = up;
            stoppedNanos = nowNanos;
        }

        void resume() {
            paused = false;
            List<Runnable> buffered = List.copyOf(bufferedActions);
            bufferedActions.clear();
            buffered.forEach(Runnable::run);
        }

        long stoppedMillis() {
            return up && !paused ? 0 : (nowNanos - stoppedNanos) / NANOS_PER_MILLI;
        }

        void tick() {
            boolean peerReachable = nodes.stream()
                    .anyMatch(other -> other != this
                            && other.up
                            && !other.paused
                            && !isCut(index, other.index)
                            && !isCut(other.index, index));
            if (peerReachable) {
                records.extendActivityDeadline(nowNanos - NANOS_PER_MILLI);
            }
            perform(records.tick(nowNanos));
            witness.tick(nowNanos);
            perform(resolver.tick(nowNanos));
        }

        private boolean isCut(int from, int to) {
            return cutLinks.contains(from + ">" + to);
        }

        /** Sends a message over a connection, which needs both directions of the link at the time of sending. */
        private boolean sendTo(IncarnationId to, Runnable action) {
            int target = indexOf(to);
            if (target < 0 || isCut(index, target) || isCut(target, index)) {
                return false;
            }
            deliver(target, to, action);
            return true;
        }

        void receive(ExecutionKey key, RequestId request, boolean mayForward) {
            if (key.issuer().equals(self.incarnation())) {
                perform(records.begin(key, FINGERPRINT, request, nowNanos));
                return;
            }
            int executor = indexOf(key.issuer());
            boolean sent = mayForward
                    && view().contains(key.issuer())
                    && sendTo(key.issuer(), () -> nodes.get(executor).receive(key, request, false));
            if (sent) {
                forwardedRequests.put(request, key);
                schedule(index, 1_000, () -> {
                    if (forwardedRequests.remove(request) != null) {
                        lookUp(key, request);
                    }
                });
            } else {
                lookUp(key, request);
            }
        }

        private void lookUp(ExecutionKey key, RequestId request) {
            perform(resolver.begin(key, OptionalLong.of(FINGERPRINT), request, view(), nowNanos));
        }

        private void reply(RequestId request, Object answer) {
            int entryNode = entryNodes.get(request);
            if (entryNode == index) {
                checkAnswer(request, answer);
            } else {
                sendTo(nodes.get(entryNode).self.incarnation(), () -> {
                    if (nodes.get(entryNode).forwardedRequests.remove(request) != null) {
                        checkAnswer(request, answer);
                    }
                });
            }
        }

        void perform(List<ExecutionAction> actions) {
            IncarnationId sender = self.incarnation();
            for (ExecutionAction action : actions) {
                if (action instanceof ExecutionAction.Admit admit) {
                    schedule(index, 5, () -> perform(records.onSlotGranted(admit.attempt(), nowNanos)));
                } else if (action instanceof ExecutionAction.SendIntent send) {
                    sendTo(send.witness(), () -> {
                        Node receiver = nodes.get(indexOf(send.witness()));
                        IntentAck ack = receiver.witness.handleIntent(send.intent(), nowNanos);
                        receiver.sendTo(sender, () -> perform(records.acknowledge(send.witness(), ack, nowNanos)));
                    });
                } else if (action instanceof ExecutionAction.Dispatch dispatch) {
                    runOnServer(this, dispatch.attempt());
                    if (runCounts.containsKey(dispatch.attempt().key())) {
                        RecordedAnswer successAnswer = new RecordedAnswer(
                                200, "", dispatch.attempt().key().toString().getBytes(StandardCharsets.UTF_8), true);
                        schedule(index, 30, () -> reply(dispatch.request(), successAnswer));
                    }
                } else if (action instanceof ExecutionAction.SendOutcome send) {
                    sendTo(
                            send.witness(),
                            () -> nodes.get(indexOf(send.witness())).witness.record(send.copy(), nowNanos));
                } else if (action instanceof ExecutionAction.Replay replay) {
                    reply(replay.request(), replay.answer());
                } else if (action instanceof ExecutionAction.Refuse refuse) {
                    reply(refuse.request(), refuse.reason());
                } else if (action instanceof ExecutionAction.SendQuery send) {
                    boolean sent = sendTo(send.to(), () -> {
                        Node receiver = nodes.get(indexOf(send.to()));
                        OutcomeQuery query = send.query();
                        OutcomeAnswer answer = query.key().issuer().equals(send.to())
                                ? receiver.records.handleQuery(query, nowNanos)
                                : receiver.witness.handleQuery(query, nowNanos);
                        receiver.sendTo(sender, () -> perform(resolver.handleAnswer(send.to(), answer, nowNanos)));
                    });
                    if (!sent) {
                        perform(resolver.handleQueryFailure(
                                send.to(), send.query().key(), nowNanos));
                    }
                } else if (action instanceof ExecutionAction.RunAgain again) {
                    perform(records.begin(again.key(), FINGERPRINT, again.request(), nowNanos));
                }
            }
        }
    }
}
