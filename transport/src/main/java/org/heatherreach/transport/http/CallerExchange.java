package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import net.openhft.hashing.LongHashFunction;
import org.heatherreach.coordination.admission.RetryBudget;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.outcome.RetryReason;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.publisher.Sinks;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The life of one accepted request: body, decision on its key, schedule, exchange with a server, retries, answer.
 *
 * <p>Invariants: the caller gets one answer, complete and its own, or its connection is reset; {@code not-run} is said
 * only if no server can have run the request; every dispatched attempt is completed at the scheduler exactly once.
 *
 * <p>Thread safety: created on the event loop of the caller's connection. Signals of servers arrive on other event
 * loops; the phase decides races between them, the deadline and faults of the caller.
 */
final class CallerExchange {
    /** A running request usually ends within the time that its caller waits; a second keeps retries cheap. */
    private static final long KEY_RUNNING_RETRY_MILLIS = 1000;

    private static final int SERVER_ERROR_STATUS = 500;
    /** The part of the target latency after which an idempotent request tries another server, so that it still fits. */
    private static final double SLOW_SHARE = 0.7;

    private static final Logger LOG = Logger.getLogger(CallerExchange.class);
    private static final AtomicLong TICKETS = new AtomicLong();
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private static final KeyedOutcome NOT_STARTED = new KeyedOutcome.NotRun(RefusalReason.DEADLINE_PASSED);

    /** Another server for a request that the first one has not answered. */
    private record SecondTry(ScheduleDecision.Dispatch dispatch, long ticket) {}

    private enum Phase {
        READING,
        QUEUED,
        RUNNING,
        /** The executor of the key is gone, and its witnesses are asked. */
        RESOLVING,
        RELAYING,
        ENDED
    }

    private final ProxyParts parts;
    private final BackendClients clients;
    private final RepeatLimits repeats;
    private final CallerRequest request;
    private final HttpServerRequest inbound;
    private final HttpServerResponse outbound;
    private final Channel channel;
    private final CallerGuard guard;
    private final CallerConnection caller;
    private final RequestTrace trace;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.READING);
    private final Sinks.One<Answer> interruption = Sinks.one();
    private final Set<ServerId> tried = new HashSet<>();
    private final AtomicBoolean keyOpen = new AtomicBoolean();
    private final Consumer<RefusalReason> faultListener = this::failBody;
    private long fingerprint;
    private volatile KeyedRequest keyedRequest;
    /** Whether nothing is known yet about earlier requests with the same key; they may have run. */
    private volatile boolean keyUndecided;

    private long keyTicket;
    private volatile boolean earlierAttemptMayHaveRun;
    private volatile BackendAttempt attempt;
    private volatile long queuedTicket;
    private volatile boolean callerGone;
    private volatile boolean executed;
    private volatile long progressNanos;
    private ScheduledFuture<?> deadlineTimer;
    private volatile ScheduledFuture<?> stallTimer;
    private ScheduledFuture<?> slowTimer;

    CallerExchange(
            ProxyParts parts,
            BackendClients clients,
            RetryBudget budget,
            CallerRequest request,
            HttpServerRequest inbound,
            HttpServerResponse outbound,
            Channel channel) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.clients = Objects.requireNonNull(clients, "clients");
        this.request = Objects.requireNonNull(request, "request");
        this.inbound = Objects.requireNonNull(inbound, "inbound");
        this.outbound = Objects.requireNonNull(outbound, "outbound");
        this.channel = Objects.requireNonNull(channel, "channel");
        this.guard = channel.pipeline().get(CallerGuard.class);
        this.caller = new CallerConnection(channel, guard, parts.meters());
        this.repeats = new RepeatLimits(parts, request, budget);
        this.trace = new RequestTrace(parts.history(), request);
        this.keyUndecided = request.key().isDefined();
    }

    /** Answers the request. */
    Mono<Void> run() {
        long delayNanos = request.deadlineNanos() - System.nanoTime();
        deadlineTimer = channel.eventLoop().schedule(this::passDeadline, delayNanos, TimeUnit.NANOSECONDS);
        guard.listenForBodyFault(faultListener);
        Mono<Answer> work = Mono.firstWithSignal(
                        new RequestBodyReader(parts.callerLimits(), request, inbound)
                                .read()
                                .flatMap(this::decide)
                                .onErrorResume(this::refuseFault),
                        interruption.asMono())
                .doOnNext(this::finishKey)
                .doOnError(error -> finishKey(new KeyedOutcome.Unknown(RefusalReason.SERVER_LOST)));
        // A request with a key goes on when its caller leaves, so that a repetition finds the response.
        Mono<Answer> answer = request.key().isDefined() ? DetachedMono.of(work) : work;
        return answer.onErrorResume(error -> caller.onLoop(Mono.defer(() -> {
                    caller.breakOff(error);
                    return Mono.<Answer>error(error);
                })))
                .flatMap(this::deliver)
                .doOnCancel(this::callerLeft)
                .doFinally(signal -> {
                    release();
                    trace.end(ending(signal), System.nanoTime());
                });
    }

    private Mono<Answer> decide(RequestBody body) {
        long bodyHash = body.isRetained() ? HASH.hashBytes(body.bytes()) : body.lengthBytes();
        long requestHash = HASH.hashLongs(
                new long[] {HASH.hashChars(request.method()), HASH.hashChars(request.target()), bodyHash});
        long keyHash = request.key().map(HASH::hashChars).getOrElse(requestHash);
        fingerprint = HASH.hashLongs(new long[] {
            HASH.hashChars(request.service().value()),
            HASH.hashChars(request.method()),
            HASH.hashChars(request.target()),
            keyHash,
            callerHash()
        });
        if (request.key().isEmpty()) {
            return refusesCrash() ? refuse(RefusalReason.CRASH_SUSPECT, 0) : schedule(body);
        }
        if (parts.keyed().isEmpty()) {
            return refuse(RefusalReason.INVALID_KEY, 0);
        }
        keyedRequest = new KeyedRequest(
                request.key().get(),
                request.service(),
                requestHash,
                request.deadlineNanos(),
                request.parameters().forwardedBy().isDefined());
        return Mono.<KeyedDecision>create(sink -> parts.keyed()
                        .get()
                        .begin(
                                keyedRequest,
                                decision -> caller.onLoop(() -> {
                                    if (decision instanceof KeyedDecision.Admit admission
                                            && phase.get() == Phase.ENDED) {
                                        // The answer was given at the deadline, and nobody takes this decision any
                                        // more.
                                        parts.keyed().get().finish(admission.ticket(), NOT_STARTED);
                                    } else {
                                        sink.success(decision);
                                    }
                                })))
                .flatMap(decision -> follow(decision, body));
    }

    private long callerHash() {
        return parts.dialect().distinguishesCallers() && channel.remoteAddress() instanceof InetSocketAddress remote
                ? HASH.hashBytes(remote.getAddress().getAddress())
                : 0;
    }

    private boolean refusesCrash() {
        return parts.crashFilter().refuses(request.service(), fingerprint);
    }

    private Mono<Answer> follow(KeyedDecision decision, RequestBody body) {
        if (decision instanceof KeyedDecision.Admit admission) {
            keyTicket = admission.ticket();
            keyOpen.set(true);
            keyUndecided = false;
            executed = true;
            if (callerGone || phase.get() == Phase.ENDED) {
                // Nobody waits for the answer and nothing was sent, so the caller may safely repeat the request.
                finishKey(NOT_STARTED);
                return Mono.never();
            }
            return refusesCrash() ? refuse(RefusalReason.CRASH_SUSPECT, 0) : schedule(body);
        }
        if (decision instanceof KeyedDecision.Replay replay) {
            parts.meters().countReplay();
            return Mono.just(KeyedAnswers.replay(replay.response()));
        }
        if (decision instanceof KeyedDecision.Refuse refusal) {
            long retryAfterMillis = refusal.reason() == RefusalReason.KEY_RUNNING ? KEY_RUNNING_RETRY_MILLIS : 0;
            return Mono.just(new Answer.Refusal(refusal.reason(), refusal.outcome(), retryAfterMillis));
        }
        return forward((KeyedDecision.Forward) decision, body);
    }

    private Mono<Answer> forward(KeyedDecision.Forward decision, RequestBody body) {
        if (request.parameters().forwardedBy().isDefined() || !enter(Phase.RUNNING)) {
            return refuse(RefusalReason.EXECUTOR_UNREACHABLE, 0);
        }
        long nowNanos = System.nanoTime();
        String executor =
                decision.executor().getHostString() + ':' + decision.executor().getPort();
        int attemptNumber = trace.begin("executor@" + executor, Option.none(), nowNanos);
        BackendAttempt current = new BackendAttempt(
                parts,
                request,
                body,
                Option.none(),
                nowNanos,
                result -> trace.complete(attemptNumber, result),
                this::stream);
        attempt = current;
        Mono<Answer> response = current.run(
                        clients.client(decision.executor(), parts.limits().connections()))
                .flatMap(this::claim);
        // A paused executor keeps its connections open, so only the member list tells that it will not answer.
        Mono<Answer> lost = decision.lost().then(caller.onLoop(Mono.defer(() -> abandonForwarded(current))));
        return Mono.firstWithSignal(response, lost)
                .onErrorResume(
                        BackendFailure.class,
                        failure -> caller.<Answer>onLoop(Mono.defer(() -> resolveForwarded(failure, body))));
    }

    private Mono<Answer> abandonForwarded(BackendAttempt forwarded) {
        if (!phase.compareAndSet(Phase.RUNNING, Phase.RESOLVING)) {
            return Mono.never();
        }
        forwarded.abandon(FailureKind.STALLED);
        return Mono.error(new BackendFailure(FailureKind.STALLED, "the executor is no longer a member", 0));
    }

    /** Asks the witnesses, because the executor did not answer a forwarded request. */
    private Mono<Answer> resolveForwarded(BackendFailure failure, RequestBody body) {
        if (phase.get() == Phase.RELAYING || phase.get() == Phase.ENDED) {
            return Mono.error(failure);
        }
        return Mono.<KeyedDecision>create(sink ->
                        parts.keyed().get().resolve(keyedRequest, found -> caller.onLoop(() -> sink.success(found))))
                .flatMap(found -> follow(found, body));
    }

    private Mono<Answer> schedule(RequestBody body) {
        if (!enter(Phase.QUEUED)) {
            return Mono.never();
        }
        repeats.countAttempt();
        long ticket = TICKETS.incrementAndGet();
        return Mono.<ScheduleDecision>create(sink -> submit(ticket, sink::success))
                .flatMap(decision -> {
                    if (decision instanceof ScheduleDecision.Refuse refusal) {
                        return refuse(refusal.reason(), refusal.retryAfterMillis());
                    }
                    ScheduleDecision.Dispatch dispatch = (ScheduleDecision.Dispatch) decision;
                    return executed ? prepare(dispatch, ticket, body) : dispatch(dispatch, ticket, body);
                });
    }

    /** Asks the scheduler for a server; its decision is taken on the event loop unless the ticket is cancelled before. */
    private void submit(long ticket, Consumer<ScheduleDecision> listener) {
        queuedTicket = ticket;
        boolean accepted = parts.scheduler()
                .submit(new Submission(
                        ticket,
                        request.service(),
                        request.parameters().rank(),
                        request.parameters().workspace(),
                        fingerprint,
                        request.deadlineNanos(),
                        request.terms(),
                        tried,
                        decision -> caller.onLoop(() -> {
                            // A decision that crosses a cancellation finds the ticket cleared.
                            if (queuedTicket == ticket) {
                                queuedTicket = 0;
                                listener.accept(decision);
                            }
                        })));
        if (!accepted) {
            queuedTicket = 0;
            listener.accept(new ScheduleDecision.Refuse(RefusalReason.RING_FULL, 0));
        }
    }

    private Mono<Answer> prepare(ScheduleDecision.Dispatch dispatch, long ticket, RequestBody body) {
        // Until it is dispatched, an interruption frees the slot by a cancellation.
        queuedTicket = ticket;
        return Mono.<KeyedDecision>create(sink -> parts.keyed()
                        .get()
                        .prepare(
                                keyTicket,
                                decision -> caller.onLoop(() -> {
                                    if (queuedTicket == ticket) {
                                        queuedTicket = 0;
                                        sink.success(decision);
                                    }
                                })))
                .flatMap(decision -> {
                    if (decision instanceof KeyedDecision.Refuse refusal) {
                        parts.scheduler().cancel(ticket);
                        return Mono.just(new Answer.Refusal(refusal.reason(), refusal.outcome(), 0));
                    }
                    return dispatch(dispatch, ticket, body);
                });
    }

    private Mono<Answer> dispatch(ScheduleDecision.Dispatch dispatch, long ticket, RequestBody body) {
        BackendServer server = dispatch.server();
        if (!enter(Phase.RUNNING)) {
            parts.scheduler().cancel(ticket);
            return Mono.never();
        }
        long nowNanos = System.nanoTime();
        int attemptNumber = trace.begin(server.id().value(), dispatch.basis(), nowNanos);
        parts.observer().dispatched(request.service(), server.id(), fingerprint, nowNanos);
        BackendAttempt current = new BackendAttempt(
                parts,
                request,
                body,
                Option.some(server.id()),
                nowNanos,
                new BackendAttempt.Listener() {
                    @Override
                    public void answer(HttpHeaders headers) {
                        observeHead(server, headers);
                    }

                    @Override
                    public void end(ExchangeResult result) {
                        trace.complete(attemptNumber, result);
                        parts.scheduler().complete(ticket, result);
                        parts.observer().ended(request.service(), server.id(), fingerprint, result, System.nanoTime());
                    }
                },
                this::stream);
        attempt = current;
        Sinks.One<SecondTry> second = Sinks.one();
        watchSlowness(server, current, second);
        int connections = parts.catalog()
                .serviceLimits(request.service())
                .map(limits -> limits.connections())
                .getOrElse(1);
        HttpClient client = clients.client(server.address(), connections);
        return Mono.firstWithSignal(
                        current.run(client).map(answer -> followUp(server, current, body, answer)),
                        second.asMono().map(next -> moveTo(next, body)))
                .flatMap(Function.identity())
                // The caller's event loop goes on, so that the state of the exchange needs no locks.
                .onErrorResume(
                        BackendFailure.class,
                        failure ->
                                caller.<Answer>onLoop(Mono.defer(() -> afterFailure(server, current, body, failure))));
    }

    private Mono<Answer> followUp(BackendServer server, BackendAttempt current, RequestBody body, Answer answer) {
        return caller.onLoop(Mono.defer(() -> {
            cancelQueued();
            return repeatsError(answer) ? afterError(server, current, body, answer) : claim(answer);
        }));
    }

    /** Goes on with the server that was found while the first one had the request. */
    private Mono<Answer> moveTo(SecondTry next, RequestBody body) {
        return Mono.defer(() -> {
            queuedTicket = 0;
            earlierAttemptMayHaveRun = true;
            parts.meters().countRetry(RetryReason.SERVER_SLOW);
            repeats.countAttempt();
            return dispatch(next.dispatch(), next.ticket(), body);
        });
    }

    /**
     * Looks for another server if this one has not answered an idempotent request while a second try still fits. While the
     * daemon leaves, a request stays where it runs.
     */
    private void watchSlowness(BackendServer server, BackendAttempt current, Sinks.One<SecondTry> second) {
        if (!request.isSafe()
                || !request.terms().repeatsErrors()
                || request.terms().targetLatencyMillis() == 0) {
            return;
        }
        long delayNanos = (long) (TimeUnit.MILLISECONDS.toNanos(request.terms().targetLatencyMillis()) * SLOW_SHARE);
        slowTimer = channel.eventLoop()
                .schedule(
                        () -> {
                            if (isUnanswered(current)
                                    && !parts.gate().isDraining()
                                    && repeats.allow(RetryReason.SERVER_SLOW, current)) {
                                seekSecond(server, current, second);
                            }
                        },
                        delayNanos,
                        TimeUnit.NANOSECONDS);
    }

    /** Asks for another server; the first one keeps the request until there is one. */
    private void seekSecond(BackendServer server, BackendAttempt first, Sinks.One<SecondTry> second) {
        tried.add(server.id());
        long ticket = TICKETS.incrementAndGet();
        submit(ticket, decision -> {
            if (!(decision instanceof ScheduleDecision.Dispatch dispatch)) {
                return;
            }
            queuedTicket = ticket;
            if (isUnanswered(first) && !dispatch.server().id().equals(server.id())) {
                second.tryEmitValue(new SecondTry(dispatch, ticket));
            }
            if (queuedTicket == ticket) {
                // The first try has ended meanwhile, or is still the better one.
                cancelQueued();
            } else {
                first.abandon(FailureKind.STALLED);
            }
        });
    }

    private boolean isUnanswered(BackendAttempt current) {
        return phase.get() == Phase.RUNNING && attempt == current && !current.hasAnswer();
    }

    private boolean repeatsError(Answer answer) {
        return request.terms().repeatsErrors()
                && request.isSafe()
                && answer instanceof Answer.Whole whole
                && whole.statusCode() >= SERVER_ERROR_STATUS;
    }

    /** Sends an idempotent request to another server after an error answer, or relays that answer. */
    private Mono<Answer> afterError(BackendServer server, BackendAttempt failed, RequestBody body, Answer answer) {
        if (phase.get() != Phase.RUNNING || !repeats.allow(RetryReason.SERVER_ERROR, failed)) {
            return claim(answer);
        }
        earlierAttemptMayHaveRun = true;
        tried.add(server.id());
        parts.meters().countRetry(RetryReason.SERVER_ERROR);
        return schedule(body);
    }

    private void observeHead(BackendServer server, HttpHeaders headers) {
        if (!"true".equals(headers.get(CallHeaders.BACKEND_SHED))) {
            parts.observer().answered(request.service(), server.id(), fingerprint, System.nanoTime());
        }
        if ("true".equals(headers.get(CallHeaders.BACKEND_DRAINING))) {
            parts.observer().draining(request.service(), server.id());
        }
    }

    private Mono<Answer> afterFailure(
            BackendServer server, BackendAttempt failed, RequestBody body, BackendFailure failure) {
        Phase current = phase.get();
        if (current == Phase.ENDED) {
            return refuseLate();
        }
        if (current == Phase.RELAYING) {
            return Mono.error(failure);
        }
        cancelQueued();
        earlierAttemptMayHaveRun |= failed.mayHaveRun();
        tried.add(server.id());
        if (failure.kind() == FailureKind.CONNECT) {
            repeats.countConnectFailure();
        }
        RetryReason reason = retryReason(failure.kind());
        if (reason != null && repeats.allow(reason, failed)) {
            parts.meters().countRetry(reason);
            return schedule(body);
        }
        return switch (failure.kind()) {
            case CONNECT -> refuse(RefusalReason.CONNECT_FAILED, 0);
            case SHED, MISDIRECTED -> refuse(RefusalReason.SERVERS_SHED, failure.retryAfterMillis());
            case STALLED -> refuse(RefusalReason.SERVER_TIMEOUT, 0);
            case CANCELLED -> refuse(RefusalReason.DEADLINE_PASSED, 0);
            default -> refuse(RefusalReason.SERVER_LOST, 0);
        };
    }

    /** Answers a failure that meets the deadline; an error instead would reset the caller without an answer. */
    private Mono<Answer> refuseLate() {
        BackendAttempt last = attempt;
        boolean sent = earlierAttemptMayHaveRun || (last != null && last.mayHaveRun());
        return refuse(sent ? RefusalReason.SERVER_TIMEOUT : RefusalReason.DEADLINE_PASSED, 0);
    }

    private static RetryReason retryReason(FailureKind kind) {
        return switch (kind) {
            case CONNECT -> RetryReason.CONNECT_FAILED;
            case SHED, MISDIRECTED -> RetryReason.SERVER_SHED;
            case TRUNCATED -> RetryReason.CONNECTION_LOST;
            default -> null;
        };
    }

    /** Lets a whole response through unless the deadline passed first. */
    private Mono<Answer> claim(Answer answer) {
        if (answer instanceof Answer.Streamed || phase.compareAndSet(Phase.RUNNING, Phase.RELAYING)) {
            return Mono.just(answer);
        }
        return Mono.never();
    }

    private Mono<Answer> stream(int statusCode, HttpHeaders headers, Flux<ByteBuf> body) {
        if (!phase.compareAndSet(Phase.RUNNING, Phase.RELAYING)) {
            body.subscribe().dispose();
            return Mono.never();
        }
        BodyRecorder recorder = new BodyRecorder(executed);
        progressNanos = System.nanoTime();
        caller.onLoop(this::watchStall);
        outbound.status(statusCode);
        outbound.responseHeaders().set(headers);
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            outbound.responseHeaders().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        addAnswerHeaders(Outcome.BACKEND.label());
        Flux<ByteBuf> observed = body.doOnNext(part -> {
            progressNanos = System.nanoTime();
            recorder.add(part);
        });
        return Mono.from(outbound.send(observed, part -> true).then())
                .onErrorMap(
                        error -> !(error instanceof BackendFailure),
                        error -> new BackendFailure(FailureKind.CANCELLED, "the caller is gone: " + error, 0))
                .doOnSuccess(done -> finishStream(statusCode, headers, recorder, true))
                .doOnError(error -> finishStream(statusCode, headers, recorder, false))
                .thenReturn(new Answer.Streamed());
    }

    private void finishStream(int statusCode, HttpHeaders headers, BodyRecorder recorder, boolean complete) {
        if (keyOpen.get()) {
            finishKey(KeyedAnswers.outcomeOf(statusCode, headers, recorder, complete));
        }
    }

    private void finishKey(Answer answer) {
        if (!keyOpen.get()) {
            return;
        }
        if (answer instanceof Answer.Refusal refusal) {
            finishKey(KeyedAnswers.outcomeOf(refusal));
        } else if (answer instanceof Answer.Whole whole) {
            finishKey(KeyedAnswers.outcomeOf(whole));
        }
    }

    private void finishKey(KeyedOutcome outcome) {
        if (keyOpen.compareAndSet(true, false)) {
            parts.keyed().get().finish(keyTicket, outcome);
        }
    }

    private Mono<Answer> refuse(RefusalReason reason, long retryAfterMillis) {
        return Mono.just(refusal(reason, retryAfterMillis));
    }

    private Answer.Refusal refusal(RefusalReason reason, long retryAfterMillis) {
        BackendAttempt last = attempt;
        boolean mayHaveRun = earlierAttemptMayHaveRun || (last != null && last.mayHaveRun());
        Outcome known = keyUndecided ? Answer.outcomeOfKey(reason) : reason.outcome();
        return new Answer.Refusal(reason, mayHaveRun ? Outcome.UNKNOWN : known, retryAfterMillis);
    }

    private Mono<Answer> refuseFault(Throwable error) {
        Phase current = phase.get();
        if (current == Phase.ENDED) {
            return refuseLate();
        }
        if (current == Phase.RELAYING) {
            return Mono.error(error);
        }
        if (error instanceof RequestRefusal refused) {
            return caller.onLoop(Mono.defer(() -> {
                guard.closeAfterResponse();
                return refuse(refused.reason(), 0);
            }));
        }
        // A fault of the daemon itself: the caller is told what is known instead of a bare error.
        LOG.errorf(error, "The exchange of request %s failed", request.requestId());
        return caller.onLoop(Mono.defer(() -> {
            stopWork(FailureKind.CANCELLED);
            return refuse(RefusalReason.SERVER_LOST, 0);
        }));
    }

    private Mono<Void> deliver(Answer answer) {
        if (answer instanceof Answer.Streamed) {
            count(Outcome.BACKEND);
            return Mono.empty();
        }
        if (guard.isBodyOpen()) {
            guard.closeAfterResponse();
        }
        if (answer instanceof Answer.Refusal refusal) {
            parts.meters().countRefusal(refusal.reason());
            trace.answer(refusal.outcome().label(), refusal.reason().label());
            count(refusal.outcome());
            return Mono.from(RefusalWriter.write(parts.dialect(), outbound, refusal, request.requestId(), isClosing()));
        }
        Answer.Whole whole = (Answer.Whole) answer;
        count(Outcome.BACKEND);
        outbound.status(whole.statusCode());
        outbound.responseHeaders().set(whole.headers());
        addAnswerHeaders(Outcome.BACKEND.label());
        if (whole.bodyless()) {
            return Mono.from(outbound.send());
        }
        outbound.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(whole.body().length));
        if (whole.body().length == 0) {
            return Mono.from(outbound.send());
        }
        return Mono.from(outbound.sendByteArray(Mono.just(whole.body())));
    }

    private void count(Outcome outcome) {
        parts.meters().countAnswer(outcome, request.parameters().rank(), System.nanoTime() - request.arrivalNanos());
    }

    private void addAnswerHeaders(String outcome) {
        if (isClosing()) {
            outbound.keepAlive(false);
        }
        if (!parts.dialect().describesAnswers()) {
            trace.answer(outcome, "");
            return;
        }
        HttpHeaders headers = outbound.responseHeaders();
        // An answer that another daemon relayed already says what is known.
        if (!headers.contains(CallHeaders.OUTCOME)) {
            headers.set(CallHeaders.OUTCOME, outcome);
        }
        headers.set(CallHeaders.REQUEST_ID, request.requestId().toString());
        trace.answer(headers.get(CallHeaders.OUTCOME), headers.get(CallHeaders.REASON));
    }

    private boolean isClosing() {
        return parts.gate().isDraining() || guard.isClosing();
    }

    private boolean enter(Phase next) {
        while (true) {
            Phase current = phase.get();
            if (current == Phase.ENDED || current == Phase.RELAYING) {
                return false;
            }
            if (phase.compareAndSet(current, next)) {
                return true;
            }
        }
    }

    private void passDeadline() {
        Phase before = phase.get();
        if (!enter(Phase.ENDED)) {
            return;
        }
        if (keyedRequest != null && keyUndecided) {
            boolean forwarded = before == Phase.RUNNING || before == Phase.RESOLVING;
            interrupt(forwarded ? RefusalReason.EXECUTOR_UNREACHABLE : RefusalReason.KEY_RUNNING, FailureKind.STALLED);
            return;
        }
        switch (before) {
            case READING -> interrupt(RefusalReason.SLOW_CALLER, FailureKind.CANCELLED);
            case QUEUED -> interrupt(RefusalReason.DEADLINE_PASSED, FailureKind.CANCELLED);
            default -> {
                stopWork(FailureKind.STALLED);
                BackendAttempt last = attempt;
                boolean sent = last != null && last.mayHaveRun();
                interrupt(sent ? RefusalReason.SERVER_TIMEOUT : RefusalReason.DEADLINE_PASSED, FailureKind.STALLED);
            }
        }
    }

    private void failBody(RefusalReason reason) {
        if (enter(Phase.ENDED)) {
            interrupt(reason, FailureKind.CANCELLED);
        } else if (phase.get() == Phase.RELAYING) {
            caller.reset();
        }
    }

    private void interrupt(RefusalReason reason, FailureKind kind) {
        // Stopped first: only then is it settled whether the request was written.
        try {
            stopWork(kind);
        } finally {
            // The caller gets its answer even if the work can't be stopped.
            interruption.tryEmitValue(refusal(reason, 0));
        }
    }

    private void cancelQueued() {
        long ticket = queuedTicket;
        queuedTicket = 0;
        if (ticket != 0) {
            parts.scheduler().cancel(ticket);
        }
    }

    private void stopWork(FailureKind kind) {
        cancelQueued();
        BackendAttempt current = attempt;
        if (current != null) {
            current.abandon(kind);
        }
    }

    private void callerLeft() {
        callerGone = true;
        parts.meters().countCallerDisconnect();
        if (executed && phase.get() != Phase.RELAYING) {
            return;
        }
        if (enter(Phase.ENDED) || phase.get() == Phase.RELAYING) {
            stopWork(FailureKind.CANCELLED);
        }
    }

    private void release() {
        guard.stopListening(faultListener);
        if (!executed || !callerGone) {
            deadlineTimer.cancel(false);
        }
        if (slowTimer != null) {
            slowTimer.cancel(false);
        }
        ScheduledFuture<?> timer = stallTimer;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private RequestEnding ending(SignalType signal) {
        if (caller.isReset()) {
            return RequestEnding.RESET;
        }
        return switch (signal) {
            case ON_COMPLETE -> RequestEnding.ANSWERED;
            // A broken relay that the HTTP server noticed first has already closed the caller's connection.
            case ON_ERROR -> callerGone ? RequestEnding.CALLER_LEFT : RequestEnding.RESET;
            default -> RequestEnding.CALLER_LEFT;
        };
    }

    private void watchStall() {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(parts.limits().stallTimeoutMillis());
        long idleNanos = System.nanoTime() - progressNanos;
        if (idleNanos < limitNanos) {
            stallTimer = channel.eventLoop().schedule(this::watchStall, limitNanos - idleNanos, TimeUnit.NANOSECONDS);
            return;
        }
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        boolean callerStalled = pending != null && pending.totalPendingWriteBytes() > 0;
        stopWork(callerStalled ? FailureKind.CANCELLED : FailureKind.STALLED);
        caller.reset();
    }
}
