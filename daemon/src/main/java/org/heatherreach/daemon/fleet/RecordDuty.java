package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import org.heatherreach.coordination.atmostonce.ExecutionAction;
import org.heatherreach.coordination.atmostonce.ExecutionKey;
import org.heatherreach.coordination.atmostonce.ExecutionLimits;
import org.heatherreach.coordination.atmostonce.ExecutionRecords;
import org.heatherreach.coordination.atmostonce.KeyAttempt;
import org.heatherreach.coordination.atmostonce.KeyIssuer;
import org.heatherreach.coordination.atmostonce.KeyParseError;
import org.heatherreach.coordination.atmostonce.OutcomeAnswer;
import org.heatherreach.coordination.atmostonce.OutcomeQuery;
import org.heatherreach.coordination.atmostonce.OutcomeResolver;
import org.heatherreach.coordination.atmostonce.RecordedAnswer;
import org.heatherreach.coordination.atmostonce.WitnessRecords;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.protocol.peer.OnceCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.duty.DutyThread;
import org.heatherreach.transport.http.Endpoint;
import org.heatherreach.transport.http.KeyedDecision;
import org.heatherreach.transport.http.KeyedExecution;
import org.heatherreach.transport.http.KeyedOutcome;
import org.heatherreach.transport.http.KeyedRequest;
import org.heatherreach.transport.http.RecordedResponse;
import org.heatherreach.transport.peer.PeerAddress;
import org.heatherreach.transport.peer.PeerLinks;
import org.jboss.logging.Logger;

/**
 * The duty that owns the execution records of this daemon in its three roles: as the executor of its own keys, as a
 * witness, and as a daemon that looks up the outcome of other daemons' keys. It carries out the actions of the records.
 *
 * <p>Invariants: the records are used by the duty thread only; each admitted attempt is finished even if the ring is
 * full; a frame that arrives while the ring is full is counted and dropped, which the records handle like a lost
 * message.
 *
 * <p>Thread safety: every public method is safe for use by any thread.
 */
public final class RecordDuty implements KeyedExecution, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(RecordDuty.class);
    private static final int RING_CAPACITY = 8192;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Equal to the time after which the resolver gives up. */
    private static final int QUERY_TIMEOUT_MILLIS = 800;

    private final MemberDirectory members;
    private final MemberLossSignals losses;
    private final IncarnationId self;
    private final PeerLinks links;
    private final ExecutionLimits limits;
    private final KeyIssuer issuer;
    private final ExecutionRecords executionRecords;
    private final WitnessRecords witnessRecords;
    private final OutcomeResolver resolver = new OutcomeResolver();
    private final RecordMeters meters;
    private final DutyThread<Event> duty;
    /** The callbacks of the requests that wait for a decision. */
    private final Map<RequestId, Consumer<ExecutionAction>> pendingDecisions = new HashMap<>();

    private final Map<RequestId, Execution> executions = new HashMap<>();
    private final Queue<Event> overflow = new ConcurrentLinkedQueue<>();
    private final AtomicLong requestNumbers = new AtomicLong();
    private final AtomicLong activitySentNanos;
    private long appliedActivityNanos;
    private boolean witnessesMissing;

    /** An operation on the records that waits in the ring. */
    private interface Event {
        List<ExecutionAction> apply(long nowNanos);
    }

    /** Creates the duty; {@link #start} starts it. The directory's own member must have its final caller port. */
    public RecordDuty(
            MemberDirectory members,
            PeerLinks links,
            ExecutionLimits limits,
            RandomGenerator random,
            MeterRegistry registry) {
        this.members = Objects.requireNonNull(members, "members");
        this.losses = new MemberLossSignals(members);
        this.links = Objects.requireNonNull(links, "links");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.self = members.self().incarnation();
        long nowNanos = System.nanoTime();
        this.issuer = new KeyIssuer(members.self(), limits, random);
        this.executionRecords = new ExecutionRecords(self, limits, nowNanos);
        this.witnessRecords = new WitnessRecords(self, limits);
        this.activitySentNanos = new AtomicLong(nowNanos);
        this.appliedActivityNanos = nowNanos;
        this.meters = new RecordMeters(registry);
        this.duty = new DutyThread<>("record", RING_CAPACITY, this::handle, this::tick, TICK_NANOS);
    }

    /** Registers the handlers of messages about keys. */
    public void register(FrameRouter router) {
        router.addHandler(Frame.BodyCase.INTENT, (frame, reply) -> {
            var intent = OnceCodec.decode(frame.getIntent());
            offer(RecordMeters.Event.INTENT, nowNanos -> {
                var ack = witnessRecords.handleIntent(intent, nowNanos);
                reply.accept(Frame.newBuilder().setIntentAck(OnceCodec.encode(ack)));
                return List.of();
            });
        });
        router.addHandler(Frame.BodyCase.OUTCOME_COPY, (frame, reply) -> {
            var copy = OnceCodec.decode(frame.getOutcomeCopy());
            offer(RecordMeters.Event.OUTCOME_COPY, nowNanos -> {
                witnessRecords.record(copy, nowNanos);
                meters.countReceivedCopy();
                return List.of();
            });
        });
        router.addHandler(Frame.BodyCase.OUTCOME_QUERY, (frame, reply) -> {
            var query = OnceCodec.decode(frame.getOutcomeQuery());
            offer(RecordMeters.Event.OUTCOME_QUERY, nowNanos -> {
                var answer = answerQuery(query, nowNanos);
                reply.accept(Frame.newBuilder().setOutcomeAnswer(OnceCodec.encode(answer)));
                return List.of();
            });
        });
    }

    /** Returns the endpoints for callers; each key is the HTTP method, a space and the path. */
    public Map<String, Endpoint> endpoints() {
        RecordEndpoints endpoints = new RecordEndpoints(this);
        return Map.of(
                "POST /heatherreach/keys", (argument, body) -> endpoints.issueKeys(body),
                "GET /heatherreach/outcome/", (argument, body) -> endpoints.showOutcome(argument));
    }

    /** Starts the duty. */
    public void start() {
        duty.start();
    }

    /**
     * Extends the time during which this daemon may dispatch, after a peer answered a message sent at the given time.
     */
    public void extendActivity(long sentNanos) {
        // This bypasses the ring, so that a full ring doesn't stop the dispatch of requests that are already admitted.
        activitySentNanos.accumulateAndGet(sentNanos, (known, sent) -> sent - known > 0 ? sent : known);
    }

    /** Stops the duty. Requests that still wait for a decision get none. */
    @Override
    public void close() {
        duty.close();
    }

    @Override
    public void begin(KeyedRequest request, Consumer<KeyedDecision> callback) {
        Either<KeyParseError, ExecutionKey> parsed = ExecutionKey.parse(request.key());
        if (parsed.isLeft()) {
            refuse(callback, RefusalReason.INVALID_KEY, Outcome.NOT_RUN);
            return;
        }
        ExecutionKey key = parsed.get();
        if (key.issuer().equals(self)) {
            decide(
                    RecordMeters.Event.BEGIN,
                    callback,
                    (id, nowNanos) -> executionRecords.begin(key, request.fingerprint(), id, nowNanos));
            return;
        }
        Optional<Member> executor =
                request.forwarded() ? Optional.empty() : members.view().find(key.issuer());
        if (executor.isEmpty()) {
            resolve(key, request, callback);
            return;
        }
        meters.countEnd(RecordMeters.End.FORWARDED);
        InetSocketAddress address = new InetSocketAddress(
                executor.get().address().host(), executor.get().callerPort());
        callback.accept(new KeyedDecision.Forward(address, losses.signalFor(key.issuer())));
    }

    @Override
    public void prepare(long ticket, Consumer<KeyedDecision> callback) {
        boolean accepted = offer(RecordMeters.Event.PREPARE, nowNanos -> {
            Execution execution = executions.get(idOf(ticket));
            if (execution == null || execution.refusal != null) {
                // The attempt ended while the request waited for its slot.
                RefusalReason reason = execution == null ? RefusalReason.ACTIVITY_LAPSED : execution.refusal;
                refuse(callback, reason, reason.outcome());
                return List.of();
            }
            execution.callback = callback;
            return prepare(execution, nowNanos);
        });
        if (!accepted) {
            // The request did not run: it was not sent yet, or provably not run by the servers that it was sent to.
            refuse(callback, RefusalReason.RING_FULL, Outcome.NOT_RUN);
        }
    }

    @Override
    public void resolve(KeyedRequest request, Consumer<KeyedDecision> callback) {
        Either<KeyParseError, ExecutionKey> parsed = ExecutionKey.parse(request.key());
        if (parsed.isLeft()) {
            refuse(callback, RefusalReason.INVALID_KEY, Outcome.NOT_RUN);
            return;
        }
        resolve(parsed.get(), request, callback);
    }

    @Override
    public void finish(long ticket, KeyedOutcome outcome) {
        Event event = nowNanos -> finish(executions.remove(idOf(ticket)), outcome, nowNanos);
        if (!offer(RecordMeters.Event.FINISH, event)) {
            // The number of admitted attempts bounds the queue. If the event were lost, the key would read as running
            // until it expires.
            overflow.add(event);
        }
    }

    /**
     * Issues keys.
     *
     * @param callback receives the keys, or the reason for the refusal
     */
    void issueKeys(int count, Consumer<Either<RefusalReason, List<ExecutionKey>>> callback) {
        boolean accepted = offer(RecordMeters.Event.ISSUE_KEYS, nowNanos -> {
            List<ExecutionKey> keys = new ArrayList<>(count);
            Optional<ExecutionKey> key = issuer.issue(members.view(), nowNanos);
            while (key.isPresent()) {
                keys.add(key.get());
                key = keys.size() < count ? issuer.issue(members.view(), nowNanos) : Optional.empty();
            }
            updateWitnessState(keys.isEmpty());
            meters.countIssuedKeys(keys.size());
            callback.accept(keys.size() == count ? Either.right(keys) : refusal(RefusalReason.NO_WITNESS));
            return List.of();
        });
        if (!accepted) {
            callback.accept(refusal(RefusalReason.RING_FULL));
        }
    }

    /** Returns the time after which a new key expires. */
    long keyLifetimeMillis() {
        return TimeUnit.NANOSECONDS.toMillis(limits.keyLifetimeNanos());
    }

    /**
     * Looks up the outcome of a key. A key that did not run is barred from running later, so that "not run" stays true.
     *
     * @param callback receives the outcome
     */
    void showOutcome(ExecutionKey key, Consumer<KeyReport> callback) {
        boolean accepted = offer(RecordMeters.Event.SHOW_OUTCOME, nowNanos -> {
            if (key.issuer().equals(self)) {
                OutcomeAnswer answer = executionRecords.handleQuery(new OutcomeQuery(key, true), nowNanos);
                RefusalReason lossReason = executionRecords.refusalReason(key).orElse(RefusalReason.SERVER_LOST);
                callback.accept(KeyReport.of(answer, lossReason));
                return List.of();
            }
            RequestId id = idOf(requestNumbers.incrementAndGet());
            pendingDecisions.put(id, action -> callback.accept(KeyReport.of(action)));
            return resolver.begin(key, OptionalLong.empty(), id, members.view(), nowNanos);
        });
        if (!accepted) {
            callback.accept(KeyReport.unknown(RefusalReason.RING_FULL));
        }
    }

    private void resolve(ExecutionKey key, KeyedRequest request, Consumer<KeyedDecision> callback) {
        decide(
                RecordMeters.Event.RESOLVE,
                callback,
                (id, nowNanos) ->
                        resolver.begin(key, OptionalLong.of(request.fingerprint()), id, members.view(), nowNanos));
    }

    /** Requests a decision of the records on one request. */
    private interface DecisionQuery {
        List<ExecutionAction> run(RequestId id, long nowNanos);
    }

    private void decide(RecordMeters.Event kind, Consumer<KeyedDecision> callback, DecisionQuery query) {
        long ticket = requestNumbers.incrementAndGet();
        boolean accepted = offer(kind, nowNanos -> {
            RequestId id = idOf(ticket);
            pendingDecisions.put(id, action -> deliverDecision(callback, ticket, action));
            return query.run(id, nowNanos);
        });
        if (!accepted) {
            // The outcome is unknown because an earlier request with the key may have run.
            refuse(callback, RefusalReason.RING_FULL, Outcome.UNKNOWN);
        }
    }

    private void deliverDecision(Consumer<KeyedDecision> callback, long ticket, ExecutionAction action) {
        if (action instanceof ExecutionAction.Admit) {
            callback.accept(new KeyedDecision.Admit(ticket));
        } else if (action instanceof ExecutionAction.Replay replay) {
            RecordedAnswer answer = replay.answer();
            meters.countEnd(RecordMeters.End.REPLAYED);
            callback.accept(new KeyedDecision.Replay(
                    new RecordedResponse(answer.status(), answer.contentType(), answer.body(), answer.complete())));
        } else {
            RefusalReason reason = ((ExecutionAction.Refuse) action).reason();
            refuse(callback, reason, reason.outcome());
        }
    }

    private void refuse(Consumer<KeyedDecision> callback, RefusalReason reason, Outcome outcome) {
        meters.countRefusal(reason);
        callback.accept(new KeyedDecision.Refuse(reason, outcome));
    }

    private <T> Either<RefusalReason, T> refusal(RefusalReason reason) {
        meters.countRefusal(reason);
        return Either.left(reason);
    }

    private boolean offer(RecordMeters.Event kind, Event event) {
        boolean accepted = duty.offer(event);
        if (!accepted) {
            meters.countRingRefusal(kind);
        }
        return accepted;
    }

    private void handle(Event event) {
        apply(event);
        drainOverflow();
    }

    private void apply(Event event) {
        long nowNanos = System.nanoTime();
        applyActivityExtension(nowNanos);
        carryOut(event.apply(nowNanos), nowNanos);
    }

    /** Extends the activity deadline. If it has passed, as after a pause, waiting requests are refused first. */
    private void applyActivityExtension(long nowNanos) {
        long sentNanos = activitySentNanos.get();
        if (sentNanos != appliedActivityNanos) {
            carryOut(executionRecords.tick(nowNanos), nowNanos);
            executionRecords.extendActivityDeadline(sentNanos);
            appliedActivityNanos = sentNanos;
        }
    }

    private void drainOverflow() {
        for (Event event = overflow.poll(); event != null; event = overflow.poll()) {
            apply(event);
        }
    }

    private void tick(long nowNanos) {
        drainOverflow();
        applyActivityExtension(nowNanos);
        carryOut(executionRecords.tick(nowNanos), nowNanos);
        carryOut(resolver.tick(nowNanos), nowNanos);
        witnessRecords.tick(nowNanos);
        meters.publish(
                executionRecords.size(),
                witnessRecords.size(),
                executionRecords.capacityRefusals() + witnessRecords.capacityRefusals() + resolver.capacityRefusals(),
                executionRecords.droppedBodies() + witnessRecords.droppedBodies());
    }

    private List<ExecutionAction> prepare(Execution execution, long nowNanos) {
        List<ExecutionAction> otherActions = new ArrayList<>();
        List<ExecutionAction> actions = execution.dispatched
                ? executionRecords.redispatch(execution.attempt, nowNanos)
                : executionRecords.onSlotGranted(execution.attempt, nowNanos);
        for (ExecutionAction action : actions) {
            if (action instanceof ExecutionAction.SendIntent send) {
                sendIntent(execution, send);
            } else {
                otherActions.add(action);
            }
        }
        if (actions.isEmpty()) {
            otherActions.add(new ExecutionAction.Refuse(execution.request, RefusalReason.KEY_EXPIRED));
        }
        return otherActions;
    }

    private List<ExecutionAction> finish(Execution execution, KeyedOutcome outcome, long nowNanos) {
        if (execution == null) {
            return List.of();
        }
        if (outcome instanceof KeyedOutcome.Answered answered) {
            meters.countEnd(RecordMeters.End.ANSWERED);
            RecordedResponse response = answered.response();
            return executionRecords.complete(
                    execution.attempt,
                    new RecordedAnswer(
                            response.statusCode(), response.contentType(), response.body(), response.complete()),
                    nowNanos);
        }
        if (outcome instanceof KeyedOutcome.NotRun notRun) {
            meters.countEnd(RecordMeters.End.NOT_RUN);
            return executionRecords.refuse(execution.attempt, notRun.reason(), nowNanos);
        }
        meters.countEnd(RecordMeters.End.UNKNOWN);
        RefusalReason reportedReason = ((KeyedOutcome.Unknown) outcome).reason();
        // Retries receive this reason and derive their outcome from it, so its outcome must be unknown.
        RefusalReason reason = reportedReason.outcome() == Outcome.UNKNOWN ? reportedReason : RefusalReason.SERVER_LOST;
        return execution.dispatched
                ? executionRecords.endUnknown(execution.attempt, reason, nowNanos)
                : executionRecords.refuse(execution.attempt, RefusalReason.DEADLINE_PASSED, nowNanos);
    }

    private OutcomeAnswer answerQuery(OutcomeQuery query, long nowNanos) {
        return query.key().issuer().equals(self)
                ? executionRecords.handleQuery(query, nowNanos)
                : witnessRecords.handleQuery(query, nowNanos);
    }

    private void carryOut(List<ExecutionAction> actions, long nowNanos) {
        for (ExecutionAction action : actions) {
            if (action instanceof ExecutionAction.Admit admit) {
                executions.put(admit.request(), new Execution(admit.attempt(), admit.request()));
                deliverAction(admit.request(), action);
            } else if (action instanceof ExecutionAction.Dispatch dispatch) {
                dispatch(executions.get(dispatch.request()));
            } else if (action instanceof ExecutionAction.Replay replay) {
                deliverAction(replay.request(), action);
            } else if (action instanceof ExecutionAction.Refuse refusal) {
                deliverAction(refusal.request(), action);
            } else if (action instanceof ExecutionAction.SendOutcome send) {
                sendOutcome(send);
            } else if (action instanceof ExecutionAction.SendQuery send) {
                sendQuery(send, nowNanos);
            }
        }
    }

    private void deliverAction(RequestId request, ExecutionAction action) {
        Consumer<ExecutionAction> pending = pendingDecisions.remove(request);
        if (pending != null) {
            pending.accept(action);
            return;
        }
        Execution execution = executions.get(request);
        if (execution == null || !(action instanceof ExecutionAction.Refuse refusal)) {
            return;
        }
        execution.refusal = refusal.reason();
        Consumer<KeyedDecision> callback = execution.takeCallback();
        if (callback != null) {
            refuse(callback, refusal.reason(), refusal.reason().outcome());
        }
    }

    private static void dispatch(Execution execution) {
        Consumer<KeyedDecision> callback = execution.takeCallback();
        execution.dispatched = true;
        callback.accept(new KeyedDecision.Dispatch());
    }

    private void sendIntent(Execution execution, ExecutionAction.SendIntent send) {
        Optional<PeerAddress> peer = members.peer(send.witness());
        if (peer.isEmpty()) {
            offer(RecordMeters.Event.INTENT_FAILURE, nowNanos -> failIntent(execution, nowNanos));
            return;
        }
        Frame.Builder frame = Frame.newBuilder().setIntent(OnceCodec.encode(send.intent()));
        int timeoutMillis = (int) TimeUnit.NANOSECONDS.toMillis(limits.ackTimeoutNanos());
        links.request(peer.get(), frame, timeoutMillis)
                .map(response -> OnceCodec.decode(response.getIntentAck()))
                .subscribe(
                        ack -> offer(
                                RecordMeters.Event.INTENT_ACK,
                                nowNanos -> executionRecords.acknowledge(send.witness(), ack, nowNanos)),
                        error -> offer(RecordMeters.Event.INTENT_FAILURE, nowNanos -> failIntent(execution, nowNanos)));
    }

    /** Refuses at once when neither witness can acknowledge any more; the records would otherwise continue to wait. */
    private List<ExecutionAction> failIntent(Execution execution, long nowNanos) {
        execution.failedIntents++;
        return execution.failedIntents == 2 && !execution.dispatched
                ? executionRecords.refuse(execution.attempt, RefusalReason.NO_WITNESS, nowNanos)
                : List.of();
    }

    private void sendOutcome(ExecutionAction.SendOutcome send) {
        Optional<PeerAddress> peer = members.peer(send.witness());
        if (peer.isEmpty()) {
            meters.countUnsentCopy();
            return;
        }
        links.send(peer.get(), Frame.newBuilder().setOutcomeCopy(OnceCodec.encode(send.copy())));
    }

    private void sendQuery(ExecutionAction.SendQuery send, long nowNanos) {
        ExecutionKey key = send.query().key();
        if (send.to().equals(self)) {
            carryOut(resolver.handleAnswer(self, answerQuery(send.query(), nowNanos), nowNanos), nowNanos);
            return;
        }
        Optional<PeerAddress> peer = members.peer(send.to());
        if (peer.isEmpty()) {
            carryOut(resolver.handleQueryFailure(send.to(), key, nowNanos), nowNanos);
            return;
        }
        Frame.Builder frame = Frame.newBuilder().setOutcomeQuery(OnceCodec.encode(send.query()));
        links.request(peer.get(), frame, QUERY_TIMEOUT_MILLIS)
                .map(response -> OnceCodec.decode(response.getOutcomeAnswer()))
                .subscribe(
                        answer -> offer(
                                RecordMeters.Event.OUTCOME_ANSWER,
                                answerNanos -> resolver.handleAnswer(send.to(), answer, answerNanos)),
                        error -> offer(
                                RecordMeters.Event.OUTCOME_ANSWER,
                                answerNanos -> resolver.handleQueryFailure(send.to(), key, answerNanos)));
    }

    private void updateWitnessState(boolean missing) {
        if (missing != witnessesMissing) {
            witnessesMissing = missing;
            if (missing) {
                LOG.warnf(
                        "Daemon %s issues no keys because it knows fewer than two live peers",
                        members.self().daemon());
            } else {
                LOG.infof("Daemon %s issues keys again", members.self().daemon());
            }
        }
    }

    private static RequestId idOf(long ticket) {
        return new RequestId(Long.toString(ticket));
    }

    /** An admitted attempt. Confined to the duty thread. */
    private static final class Execution {
        private final KeyAttempt attempt;
        private final RequestId request;
        private Consumer<KeyedDecision> callback;
        private RefusalReason refusal;
        private boolean dispatched;
        private int failedIntents;

        Execution(KeyAttempt attempt, RequestId request) {
            this.attempt = attempt;
            this.request = request;
        }

        Consumer<KeyedDecision> takeCallback() {
            Consumer<KeyedDecision> taken = callback;
            callback = null;
            return taken;
        }
    }
}
