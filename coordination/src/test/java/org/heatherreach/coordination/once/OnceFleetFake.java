package org.heatherreach.coordination.once;

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

/** Callers, daemons, a link and a server around the decision objects of keyed requests, with a virtual clock. */
final class OnceFleetFake {
    static final long MILLIS = 1_000_000;
    static final long FINGERPRINT = 42;
    /** After this time a dead or silent daemon is no longer a member, as with a ping, its repeat and a suspicion. */
    private static final long DETECTION_MILLIS = 5_000;

    private final boolean naive;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Set<String> cuts = new HashSet<>();
    private final Map<RequestId, Integer> entries = new HashMap<>();
    private final Map<RequestId, ExecutionKey> keys = new HashMap<>();
    private final Set<ExecutionKey> barred = new HashSet<>();
    private final OnceLimits limits;
    final List<Node> nodes = new ArrayList<>();
    final Map<ExecutionKey, Integer> runs = new HashMap<>();
    final Map<RequestId, Object> answers = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    long nowNanos = 1_000_000 * MILLIS;
    int deliveries;
    /** Called before each delivery with its number. */
    Runnable beforeDelivery = () -> {};

    int jitterMillis = 1;
    double duplicates;
    double shedding;
    private long order;
    private int requests;

    OnceFleetFake(boolean naive, long seed, int count, OnceLimits limits) {
        this.naive = naive;
        this.random = new Random(seed);
        this.limits = limits;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i));
        }
    }

    ExecutionKey issue(int node) {
        return nodes.get(node).issuer.issue(view(), nowNanos).orElseThrow();
    }

    /** Sends a request to a daemon; its answer appears in {@link #answers}. */
    RequestId send(int node, ExecutionKey key) {
        RequestId request = new RequestId("request-" + requests++);
        entries.put(request, node);
        keys.put(request, key);
        deliver(node, null, () -> nodes.get(node).accept(key, request, true));
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

    void cut(int from, int to) {
        cuts.add(from + ">" + to);
    }

    void heal() {
        cuts.clear();
    }

    void run(long millis) {
        long end = nowNanos + millis * MILLIS;
        while (nowNanos < end) {
            nowNanos += MILLIS;
            while (!events.isEmpty() && events.peek().atNanos <= nowNanos) {
                Event event = events.poll();
                if (event.message) {
                    deliveries++;
                    beforeDelivery.run();
                }
                Node target = nodes.get(event.to);
                boolean meant = event.meant == null || event.meant.equals(target.self.incarnation());
                if (!target.up || !meant) {
                    continue;
                }
                if (target.paused) {
                    target.buffer.add(event.action);
                } else {
                    event.action.run();
                }
            }
            if (nowNanos / MILLIS % 100 == 0) {
                nodes.stream().filter(node -> node.up && !node.paused).forEach(Node::tick);
            }
        }
    }

    MemberView view() {
        return new MemberView(nodes.stream()
                .filter(node -> node.aliveMillis() < DETECTION_MILLIS)
                .map(node -> node.self)
                .toList());
    }

    private void later(int node, long millis, Runnable action) {
        IncarnationId meant = nodes.get(node).self.incarnation();
        events.add(new Event(nowNanos + millis * MILLIS, order++, node, meant, false, action));
    }

    private void deliver(int to, IncarnationId meant, Runnable action) {
        int copies = meant != null && random.nextDouble() < duplicates ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long at = nowNanos + (1 + random.nextInt(jitterMillis)) * MILLIS;
            events.add(new Event(at, order++, to, meant, true, action));
        }
    }

    private void serve(Node executor, KeyAttempt attempt) {
        boolean shed = random.nextDouble() < shedding;
        if (!shed) {
            int count = runs.merge(attempt.key(), 1, Integer::sum);
            if (count > 1) {
                violations.add("key " + attempt.key() + " ran " + count + " times");
            }
            if (barred.contains(attempt.key())) {
                violations.add("key " + attempt.key() + " ran after it was barred");
            }
        }
        later(
                executor.index,
                30,
                () -> executor.perform(
                        shed
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

    private void answer(RequestId request, Object answer) {
        ExecutionKey key = keys.get(request);
        int entry = entries.get(request);
        if (!nodes.get(entry).up) {
            return;
        }
        answers.putIfAbsent(request, answer);
        if (answer instanceof RefusalReason reason) {
            if (reason.outcome() == Outcome.NOT_RUN && reason != RefusalReason.INVALID_KEY) {
                if (runs.getOrDefault(key, 0) > 0) {
                    violations.add("\"not run\" (" + reason + ") for " + key + ", which ran");
                }
                if (reason == RefusalReason.KEY_BARRED) {
                    barred.add(key);
                }
            }
        } else if (!new String(((RecordedAnswer) answer).body(), StandardCharsets.UTF_8).equals(key.toString())) {
            violations.add("answer of another key for " + key);
        }
    }

    private record Event(long atNanos, long order, int to, IncarnationId meant, boolean message, Runnable action) {}

    /** One daemon. */
    final class Node {
        final int index;
        private final List<Runnable> buffer = new ArrayList<>();
        Member self;
        OnceExecutor records;
        WitnessRecords witness;
        private OutcomeLookup resolver;
        private KeyIssuer issuer;
        private final Map<RequestId, ExecutionKey> forwarded = new HashMap<>();
        boolean up = true;
        boolean paused;
        private long silentSinceNanos;

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
            forwarded.clear();
            buffer.clear();
            up = true;
            paused = false;
        }

        void kill() {
            up = false;
            silentSinceNanos = nowNanos;
            buffer.clear();
        }

        void pause() {
            paused = up;
            silentSinceNanos = nowNanos;
        }

        void resume() {
            paused = false;
            List<Runnable> waiting = List.copyOf(buffer);
            buffer.clear();
            waiting.forEach(Runnable::run);
        }

        long aliveMillis() {
            return up && !paused ? 0 : (nowNanos - silentSinceNanos) / MILLIS;
        }

        void tick() {
            boolean heard = nodes.stream()
                    .anyMatch(other -> other != this
                            && other.up
                            && !other.paused
                            && !isCut(index, other.index)
                            && !isCut(other.index, index));
            if (heard) {
                records.extendActivity(nowNanos - MILLIS);
            }
            perform(records.tick(nowNanos));
            witness.tick(nowNanos);
            perform(resolver.tick(nowNanos));
        }

        private boolean isCut(int from, int to) {
            return cuts.contains(from + ">" + to);
        }

        /** Sends over a connection; both directions have to be open when it is sent. */
        private boolean sendTo(IncarnationId to, Runnable action) {
            int target = indexOf(to);
            if (target < 0 || isCut(index, target) || isCut(target, index)) {
                return false;
            }
            deliver(target, to, action);
            return true;
        }

        void accept(ExecutionKey key, RequestId request, boolean mayForward) {
            if (key.issuer().equals(self.incarnation())) {
                perform(records.begin(key, FINGERPRINT, request, nowNanos));
                return;
            }
            int executor = indexOf(key.issuer());
            boolean sent = mayForward
                    && view().contains(key.issuer())
                    && sendTo(key.issuer(), () -> nodes.get(executor).accept(key, request, false));
            if (sent) {
                forwarded.put(request, key);
                later(index, 1_000, () -> {
                    if (forwarded.remove(request) != null) {
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
            int entry = entries.get(request);
            if (entry == index) {
                answer(request, answer);
            } else {
                sendTo(nodes.get(entry).self.incarnation(), () -> {
                    if (nodes.get(entry).forwarded.remove(request) != null) {
                        answer(request, answer);
                    }
                });
            }
        }

        void perform(List<OnceAction> actions) {
            IncarnationId own = self.incarnation();
            for (OnceAction action : actions) {
                if (action instanceof OnceAction.Admit admit) {
                    later(index, 5, () -> perform(records.prepare(admit.attempt(), nowNanos)));
                } else if (action instanceof OnceAction.SendIntent send) {
                    sendTo(send.witness(), () -> {
                        Node to = nodes.get(indexOf(send.witness()));
                        IntentAck ack = to.witness.intent(send.intent(), nowNanos);
                        to.sendTo(own, () -> perform(records.acknowledge(send.witness(), ack, nowNanos)));
                    });
                } else if (action instanceof OnceAction.Dispatch dispatch) {
                    serve(this, dispatch.attempt());
                    if (runs.containsKey(dispatch.attempt().key())) {
                        RecordedAnswer own200 = new RecordedAnswer(
                                200, "", dispatch.attempt().key().toString().getBytes(StandardCharsets.UTF_8), true);
                        later(index, 30, () -> reply(dispatch.request(), own200));
                    }
                } else if (action instanceof OnceAction.SendOutcome send) {
                    sendTo(
                            send.witness(),
                            () -> nodes.get(indexOf(send.witness())).witness.record(send.copy(), nowNanos));
                } else if (action instanceof OnceAction.Replay replay) {
                    reply(replay.request(), replay.answer());
                } else if (action instanceof OnceAction.Refuse refuse) {
                    reply(refuse.request(), refuse.reason());
                } else if (action instanceof OnceAction.SendQuery send) {
                    boolean sent = sendTo(send.to(), () -> {
                        Node to = nodes.get(indexOf(send.to()));
                        OutcomeQuery query = send.query();
                        OutcomeAnswer answer = query.key().issuer().equals(send.to())
                                ? to.records.query(query, nowNanos)
                                : to.witness.query(query, nowNanos);
                        to.sendTo(own, () -> perform(resolver.answer(send.to(), answer, nowNanos)));
                    });
                    if (!sent) {
                        perform(resolver.fail(send.to(), send.query().key(), nowNanos));
                    }
                } else if (action instanceof OnceAction.RunAgain again) {
                    perform(records.begin(again.key(), FINGERPRINT, again.request(), nowNanos));
                }
            }
        }
    }
}
