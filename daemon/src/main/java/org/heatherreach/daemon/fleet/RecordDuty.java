package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.heatherreach.coordination.atmostonce.KeyIssuer;
import org.heatherreach.coordination.atmostonce.KeyParseError;
import org.heatherreach.coordination.atmostonce.OutcomeAnswer;
import org.heatherreach.coordination.atmostonce.OutcomeQuery;
import org.heatherreach.coordination.atmostonce.OutcomeResolver;
import org.heatherreach.coordination.atmostonce.WitnessRecords;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.protocol.peer.OnceCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.http.Endpoint;
import org.heatherreach.transport.http.KeyedDecision;
import org.heatherreach.transport.http.KeyedExecution;
import org.heatherreach.transport.http.KeyedOutcome;
import org.heatherreach.transport.http.KeyedRequest;
import org.heatherreach.transport.peer.PeerLinks;
import org.jboss.logging.Logger;

/**
 * The duty that owns the execution records of this daemon in its three roles: as the executor of its own keys, as a
 * witness, and as a daemon that looks up the outcome of other daemons' keys. It carries out the actions of the records:
 * {@link KeyedAttempts} has the attempts that were admitted, {@link PendingDecisions} the requests that wait for a
 * decision, {@link RecordMessages} sends the messages.
 *
 * <p>Invariants: the records are used by the duty thread only; a frame that arrives while the {@link RecordRing} is full
 * is counted and dropped, which the records handle like a lost message.
 *
 * <p>Thread safety: every public method is safe for use by any thread.
 */
public final class RecordDuty implements KeyedExecution, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(RecordDuty.class);
    private final MemberDirectory members;
    private final MemberLossSignals losses;
    private final IncarnationId self;
    private final ExecutionLimits limits;
    private final KeyIssuer issuer;
    private final ExecutionRecords executionRecords;
    private final WitnessRecords witnessRecords;
    private final OutcomeResolver resolver = new OutcomeResolver();
    private final RecordMeters meters;
    private final RecordRing ring;
    private final RecordMessages messages;
    private final PendingDecisions decisions;
    private final KeyedAttempts attempts;
    private final AtomicLong requestNumbers = new AtomicLong();
    private final AtomicLong activitySentNanos;
    private long appliedActivityNanos;
    private boolean witnessesMissing;

    /** Creates the duty; {@link #start} starts it. The directory's own member must have its final caller port. */
    public RecordDuty(
            MemberDirectory members,
            PeerLinks links,
            ExecutionLimits limits,
            RandomGenerator random,
            MeterRegistry registry) {
        this.members = Objects.requireNonNull(members, "members");
        this.losses = new MemberLossSignals(members);
        this.limits = Objects.requireNonNull(limits, "limits");
        this.self = members.self().incarnation();
        long nowNanos = System.nanoTime();
        this.issuer = new KeyIssuer(members.self(), limits, random);
        this.executionRecords = new ExecutionRecords(self, limits, nowNanos);
        this.witnessRecords = new WitnessRecords(self, limits);
        this.activitySentNanos = new AtomicLong(nowNanos);
        this.appliedActivityNanos = nowNanos;
        this.meters = new RecordMeters(registry);
        this.ring = new RecordRing(this::apply, this::tick, meters);
        this.messages = new RecordMessages(members, links, ring, limits, meters);
        this.decisions = new PendingDecisions(meters);
        this.attempts = new KeyedAttempts(executionRecords, messages, decisions, meters);
    }

    /** Registers the handlers of messages about keys. */
    public void register(FrameRouter router) {
        router.addHandler(Frame.BodyCase.INTENT, (frame, reply) -> {
            var intent = OnceCodec.decode(frame.getIntent());
            ring.offer(RecordMeters.Event.INTENT, nowNanos -> {
                var ack = witnessRecords.handleIntent(intent, nowNanos);
                reply.accept(Frame.newBuilder().setIntentAck(OnceCodec.encode(ack)));
                return List.of();
            });
        });
        router.addHandler(Frame.BodyCase.OUTCOME_COPY, (frame, reply) -> {
            var copy = OnceCodec.decode(frame.getOutcomeCopy());
            ring.offer(RecordMeters.Event.OUTCOME_COPY, nowNanos -> {
                witnessRecords.record(copy, nowNanos);
                meters.countReceivedCopy();
                return List.of();
            });
        });
        router.addHandler(Frame.BodyCase.OUTCOME_QUERY, (frame, reply) -> {
            var query = OnceCodec.decode(frame.getOutcomeQuery());
            ring.offer(RecordMeters.Event.OUTCOME_QUERY, nowNanos -> {
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
        ring.start();
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
        ring.close();
    }

    @Override
    public void begin(KeyedRequest request, Consumer<KeyedDecision> callback) {
        Either<KeyParseError, ExecutionKey> parsed = ExecutionKey.parse(request.key());
        if (parsed.isLeft()) {
            decisions.refuse(callback, RefusalReason.INVALID_KEY, Outcome.NOT_RUN);
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
        boolean accepted =
                ring.offer(RecordMeters.Event.PREPARE, nowNanos -> attempts.prepare(idOf(ticket), callback, nowNanos));
        if (!accepted) {
            // The request did not run: it was not sent yet, or provably not run by the servers that it was sent to.
            decisions.refuse(callback, RefusalReason.RING_FULL, Outcome.NOT_RUN);
        }
    }

    @Override
    public void resolve(KeyedRequest request, Consumer<KeyedDecision> callback) {
        Either<KeyParseError, ExecutionKey> parsed = ExecutionKey.parse(request.key());
        if (parsed.isLeft()) {
            decisions.refuse(callback, RefusalReason.INVALID_KEY, Outcome.NOT_RUN);
            return;
        }
        resolve(parsed.get(), request, callback);
    }

    @Override
    public void finish(long ticket, KeyedOutcome outcome) {
        // The number of admitted attempts bounds the overflow. If the event were lost, the key would read as running
        // until it expires.
        ring.offerAlways(RecordMeters.Event.FINISH, nowNanos -> attempts.finish(idOf(ticket), outcome, nowNanos));
    }

    /**
     * Issues keys.
     *
     * @param callback receives the keys, or the reason for the refusal
     */
    void issueKeys(int count, Consumer<Either<RefusalReason, List<ExecutionKey>>> callback) {
        boolean accepted = ring.offer(RecordMeters.Event.ISSUE_KEYS, nowNanos -> {
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
        boolean accepted = ring.offer(RecordMeters.Event.SHOW_OUTCOME, nowNanos -> {
            if (key.issuer().equals(self)) {
                OutcomeAnswer answer = executionRecords.handleQuery(new OutcomeQuery(key, true), nowNanos);
                RefusalReason lossReason = executionRecords.refusalReason(key).orElse(RefusalReason.SERVER_LOST);
                callback.accept(KeyReport.of(answer, lossReason));
                return List.of();
            }
            RequestId id = idOf(requestNumbers.incrementAndGet());
            decisions.add(id, action -> callback.accept(KeyReport.of(action)));
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
        boolean accepted = ring.offer(kind, nowNanos -> {
            RequestId id = idOf(ticket);
            decisions.add(id, ticket, callback);
            return query.run(id, nowNanos);
        });
        if (!accepted) {
            // The outcome is unknown because an earlier request with the key may have run.
            decisions.refuse(callback, RefusalReason.RING_FULL, Outcome.UNKNOWN);
        }
    }

    private <T> Either<RefusalReason, T> refusal(RefusalReason reason) {
        meters.countRefusal(reason);
        return Either.left(reason);
    }

    private void apply(RecordRing.Event event) {
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

    private void tick(long nowNanos) {
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

    private OutcomeAnswer answerQuery(OutcomeQuery query, long nowNanos) {
        return query.key().issuer().equals(self)
                ? executionRecords.handleQuery(query, nowNanos)
                : witnessRecords.handleQuery(query, nowNanos);
    }

    private void carryOut(List<ExecutionAction> actions, long nowNanos) {
        for (ExecutionAction action : actions) {
            if (action instanceof ExecutionAction.Admit admit) {
                attempts.admit(admit);
                deliver(admit.request(), action);
            } else if (action instanceof ExecutionAction.Dispatch dispatch) {
                attempts.dispatch(dispatch.request());
            } else if (action instanceof ExecutionAction.Replay replay) {
                deliver(replay.request(), action);
            } else if (action instanceof ExecutionAction.Refuse refusal) {
                deliver(refusal.request(), action);
            } else if (action instanceof ExecutionAction.SendOutcome send) {
                messages.sendOutcome(send);
            } else if (action instanceof ExecutionAction.SendQuery send) {
                sendQuery(send, nowNanos);
            }
        }
    }

    private void deliver(RequestId request, ExecutionAction action) {
        if (!decisions.deliver(request, action) && action instanceof ExecutionAction.Refuse refusal) {
            attempts.refuse(request, refusal.reason());
        }
    }

    private void sendQuery(ExecutionAction.SendQuery send, long nowNanos) {
        ExecutionKey key = send.query().key();
        if (send.to().equals(self)) {
            carryOut(resolver.handleAnswer(self, answerQuery(send.query(), nowNanos), nowNanos), nowNanos);
            return;
        }
        boolean sent = messages.sendQuery(
                send,
                (answer, answerNanos) -> resolver.handleAnswer(send.to(), answer, answerNanos),
                failureNanos -> resolver.handleQueryFailure(send.to(), key, failureNanos));
        if (!sent) {
            carryOut(resolver.handleQueryFailure(send.to(), key, nowNanos), nowNanos);
        }
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
}
