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
import org.heatherreach.coordination.balance.ChoiceBasis;
import org.heatherreach.coordination.balance.ServerNotice;
import org.heatherreach.coordination.balance.WorkBasis;
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
 * Processes one accepted request: reads the body, checks the execution key, obtains a server from the scheduler, runs
 * the exchange with retries, and responds.
 *
 * <p>Invariants: the caller gets exactly one complete response to its own request, or its connection is reset;
 * {@code not-run} is reported only if no server can have run the request; every dispatched attempt is completed at the
 * scheduler exactly once.
 *
 * <p>Thread safety: created on the event loop of the caller's connection. Events of backend connections arrive on other
 * event loops; atomic changes of the phase resolve races between them, the deadline and faults of the caller.
 */
final class CallerExchange implements ExchangeControl {
    /**
     * The {@code Retry-After} time while another request with the same key is running. That request usually ends within
     * the time that its caller waits, so one retry per second is cheap.
     */
    private static final long KEY_RUNNING_RETRY_MILLIS = 1000;

    private static final int SERVER_ERROR_STATUS = 500;
    /** How long after the deadline a response may still be relayed; a body without end is broken off then. */
    private static final long MAX_RELAY_OVERRUN_MILLIS = 2000;
    /** The share of the target latency after which another server is tried, so that it can still meet the target. */
    private static final double SLOW_SERVER_SHARE = 0.7;

    private static final Logger LOG = Logger.getLogger(CallerExchange.class);
    private static final AtomicLong TICKETS = new AtomicLong();
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private static final KeyedOutcome NOT_STARTED = new KeyedOutcome.NotRun(RefusalReason.DEADLINE_PASSED);

    /** Another server for a request to which the first one has not responded. */
    private record AlternativeDispatch(ScheduleDecision.Dispatch dispatch, long ticket) {}

    private enum Phase {
        READING,
        QUEUED,
        RUNNING,
        /** The executor of the key did not respond, and the witnesses are queried. */
        RESOLVING,
        RELAYING,
        ENDED
    }

    private final ProxyParts parts;
    private final BackendClients clients;
    private final RetryPolicy retryPolicy;
    private final CallerRequest request;
    private final HttpServerRequest inbound;
    private final HttpServerResponse outbound;
    private final Channel channel;
    private final CallerGuard guard;
    private final CallerConnection caller;
    private final RequestTrace trace;
    private final QuotaCredit credit;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.READING);
    private final Sinks.One<CallerResponse> interruption = Sinks.one();
    private final Set<ServerId> triedServers = new HashSet<>();
    private final AtomicBoolean keyUnfinished = new AtomicBoolean();
    private long fingerprint;
    private volatile KeyedRequest keyedRequest;
    /** Whether it is still unknown if earlier requests with the same key have run. */
    private volatile boolean keyStateUnknown;

    private long keyTicket;
    private volatile boolean earlierAttemptMayHaveRun;
    private volatile BackendAttempt attempt;
    private volatile long queuedTicket;
    private volatile RequestTraits traits = RequestTraits.UNKNOWN;
    private volatile boolean callerDisconnected;
    private volatile boolean executesKey;
    private volatile long progressNanos;
    private ScheduledFuture<?> deadlineTimer;
    private volatile boolean ended;
    private volatile ScheduledFuture<?> overrunTimer;
    private volatile ScheduledFuture<?> stallTimer;
    private ScheduledFuture<?> slowServerTimer;

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
        this.retryPolicy = new RetryPolicy(parts, request, budget);
        this.trace = new RequestTrace(parts.history(), request);
        this.credit = new QuotaCredit(parts.admission(), request.workspace());
        this.keyStateUnknown = request.key().isDefined();
    }

    /** Processes the request and sends the response. */
    Mono<Void> run() {
        long delayNanos = request.deadlineNanos() - System.nanoTime();
        deadlineTimer = channel.eventLoop().schedule(this::handleDeadline, delayNanos, TimeUnit.NANOSECONDS);
        guard.setExchange(this);
        RequestBodyReader reader = new RequestBodyReader(parts.callerLimits(), request, inbound);
        Mono<CallerResponse> processing = Mono.firstWithSignal(
                        reader.read()
                                .map(body -> guard.readAhead().observe(body, caller))
                                .flatMap(this::admit)
                                .onErrorResume(this::refuseAfterFault),
                        interruption.asMono())
                .doOnNext(this::finishKey)
                .doOnError(error -> finishKey(new KeyedOutcome.Unknown(RefusalReason.SERVER_LOST)))
                .doFinally(signal -> {
                    reader.discardRest();
                    releaseCredit();
                });
        Mono<CallerResponse> charged =
                Mono.using(request.memory()::retain, memory -> processing, MemoryCharge::release);
        // A request with a key continues after its caller disconnects, so that a retry finds the recorded response.
        Mono<CallerResponse> response = request.key().isDefined() ? DetachedMono.of(charged) : charged;
        return response.onErrorResume(error -> caller.onLoop(Mono.defer(() -> {
                    caller.abort(error);
                    return Mono.<CallerResponse>error(error);
                })))
                .flatMap(this::deliver)
                .doOnCancel(this::handleCallerDisconnect)
                .doFinally(signal -> {
                    releaseResources();
                    trace.endRequest(ending(signal), System.nanoTime());
                });
    }

    private Mono<CallerResponse> admit(RequestBody body) {
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
            return isCrashSuspect() ? refuse(RefusalReason.CRASH_SUSPECT, 0) : schedule(body);
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
                                        // The caller was answered at the deadline, so this decision is not used.
                                        parts.keyed().get().finish(admission.ticket(), NOT_STARTED);
                                    } else {
                                        sink.success(decision);
                                    }
                                })))
                .flatMap(decision -> applyDecision(decision, body));
    }

    private long callerHash() {
        return parts.dialect().fingerprintIncludesCaller()
                        && channel.remoteAddress() instanceof InetSocketAddress remote
                ? HASH.hashBytes(remote.getAddress().getAddress())
                : 0;
    }

    private boolean isCrashSuspect() {
        return parts.crashFilter().refuses(request.service(), fingerprint);
    }

    private Mono<CallerResponse> applyDecision(KeyedDecision decision, RequestBody body) {
        if (decision instanceof KeyedDecision.Admit admission) {
            keyTicket = admission.ticket();
            keyUnfinished.set(true);
            keyStateUnknown = false;
            executesKey = true;
            if (callerDisconnected || phase.get() == Phase.ENDED) {
                // No one waits for the response and nothing was sent, so the caller may safely retry the request.
                finishKey(NOT_STARTED);
                return Mono.never();
            }
            return isCrashSuspect() ? refuse(RefusalReason.CRASH_SUSPECT, 0) : schedule(body);
        }
        if (decision instanceof KeyedDecision.Replay replay) {
            parts.meters().countReplay();
            return Mono.just(KeyedResponses.replay(replay.response()));
        }
        if (decision instanceof KeyedDecision.Refuse refusal) {
            long retryAfterMillis = refusal.reason() == RefusalReason.KEY_RUNNING ? KEY_RUNNING_RETRY_MILLIS : 0;
            return Mono.just(new CallerResponse.Refusal(refusal.reason(), refusal.outcome(), retryAfterMillis));
        }
        return forward((KeyedDecision.Forward) decision, body);
    }

    private Mono<CallerResponse> forward(KeyedDecision.Forward decision, RequestBody body) {
        if (request.parameters().forwardedBy().isDefined() || !enterPhase(Phase.RUNNING)) {
            return refuse(RefusalReason.EXECUTOR_UNREACHABLE, 0);
        }
        long nowNanos = System.nanoTime();
        String executor =
                decision.executor().getHostString() + ':' + decision.executor().getPort();
        int attemptNumber = trace.beginAttempt("executor@" + executor, Option.none(), nowNanos);
        BackendAttempt current = new BackendAttempt(
                parts,
                request,
                body,
                Option.none(),
                nowNanos,
                result -> trace.completeAttempt(attemptNumber, result),
                this::relay);
        attempt = current;
        Mono<CallerResponse> response = current.run(
                        clients.client(decision.executor(), parts.limits().connections()))
                .flatMap(this::claimResponse);
        // A suspended executor keeps its connections open, so only the member list shows that it will not respond.
        Mono<CallerResponse> lost = decision.lost().then(caller.onLoop(Mono.defer(() -> abandonForwarded(current))));
        return Mono.firstWithSignal(response, lost)
                .onErrorResume(
                        BackendFailure.class,
                        failure -> caller.<CallerResponse>onLoop(Mono.defer(() -> resolveForwarded(failure, body))));
    }

    private Mono<CallerResponse> abandonForwarded(BackendAttempt forwarded) {
        if (!phase.compareAndSet(Phase.RUNNING, Phase.RESOLVING)) {
            return Mono.never();
        }
        forwarded.abandon(FailureKind.STALLED);
        return Mono.error(new BackendFailure(FailureKind.STALLED, "the executor is no longer a member", 0));
    }

    /** Queries the witnesses after the executor did not respond to a forwarded request. */
    private Mono<CallerResponse> resolveForwarded(BackendFailure failure, RequestBody body) {
        if (phase.get() == Phase.RELAYING || phase.get() == Phase.ENDED) {
            return Mono.error(failure);
        }
        return Mono.<KeyedDecision>create(sink -> parts.keyed()
                        .get()
                        .resolve(keyedRequest, decision -> caller.onLoop(() -> sink.success(decision))))
                .flatMap(decision -> applyDecision(decision, body));
    }

    private Mono<CallerResponse> schedule(RequestBody body) {
        if (!enterPhase(Phase.QUEUED)) {
            return Mono.never();
        }
        traits = new RequestTraits(request.terms().route(), request.method(), body.lengthBytes());
        guard.readAhead().start();
        if (!credit.isMissing()) {
            return selectServer(body);
        }
        return Mono.<AdmissionDecision>create(sink -> credit.obtain(
                        TICKETS.incrementAndGet(),
                        request.deadlineNanos(),
                        decision -> caller.onLoop(() -> sink.success(decision))))
                .flatMap(decision -> decision instanceof AdmissionDecision.Refuse refusal
                        ? refuse(refusal.reason(), refusal.retryAfterMillis())
                        : selectServer(body));
    }

    private Mono<CallerResponse> selectServer(RequestBody body) {
        retryPolicy.countAttempt();
        long ticket = TICKETS.incrementAndGet();
        return Mono.<ScheduleDecision>create(sink -> submit(ticket, sink::success))
                .flatMap(decision -> {
                    if (decision instanceof ScheduleDecision.Refuse refusal) {
                        return refuse(refusal.reason(), refusal.retryAfterMillis());
                    }
                    ScheduleDecision.Dispatch dispatch = (ScheduleDecision.Dispatch) decision;
                    return executesKey ? prepare(dispatch, ticket, body) : dispatch(dispatch, ticket, body);
                });
    }

    /**
     * Requests a server from the scheduler; the decision is processed on the event loop unless the ticket is cancelled.
     */
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
                        triedServers,
                        traits,
                        decision -> caller.onLoop(() -> {
                            // The ticket was cleared if the submission was cancelled in the meantime.
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

    private Mono<CallerResponse> prepare(ScheduleDecision.Dispatch dispatch, long ticket, RequestBody body) {
        // Until the dispatch, an interruption cancels the ticket and thereby frees the slot.
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
                        return Mono.just(new CallerResponse.Refusal(refusal.reason(), refusal.outcome(), 0));
                    }
                    return dispatch(dispatch, ticket, body);
                });
    }

    private Mono<CallerResponse> dispatch(ScheduleDecision.Dispatch dispatch, long ticket, RequestBody body) {
        BackendServer server = dispatch.server();
        if (!enterPhase(Phase.RUNNING)) {
            parts.scheduler().cancel(ticket);
            return Mono.never();
        }
        spendCreditIfSent();
        long nowNanos = System.nanoTime();
        int attemptNumber = trace.beginAttempt(server.id().value(), dispatch.basis(), nowNanos);
        parts.observer().dispatched(request.service(), server.id(), fingerprint, nowNanos);
        BackendAttempt current = new BackendAttempt(
                parts,
                request,
                body,
                Option.some(server.id()),
                nowNanos,
                new BackendAttempt.Listener() {
                    @Override
                    public void responseStarted(HttpHeaders headers) {
                        observeHead(server, headers);
                    }

                    @Override
                    public void serverAnnounced(ServerNotice notice) {
                        parts.scheduler().recordNotice(ticket, notice);
                        if (notice.leaving()) {
                            parts.observer().draining(request.service(), server.id());
                        }
                    }

                    @Override
                    public void exchangeEnded(ExchangeResult result) {
                        trace.completeAttempt(attemptNumber, result);
                        parts.scheduler().complete(ticket, result);
                        parts.observer().ended(request.service(), server.id(), fingerprint, result, System.nanoTime());
                    }
                },
                this::relay);
        attempt = current;
        Sinks.One<AlternativeDispatch> alternative = Sinks.one();
        scheduleSlowServerChecks(dispatch, current, alternative);
        int connections = parts.catalog()
                .serviceLimits(request.service())
                .map(limits -> limits.connections())
                .getOrElse(1);
        HttpClient client = clients.client(server.address(), connections);
        return Mono.firstWithSignal(
                        current.run(client).map(response -> retryOrClaim(server, current, body, response)),
                        alternative.asMono().map(alternativeDispatch -> switchTo(alternativeDispatch, body)))
                .flatMap(Function.identity())
                // Continues on the caller's event loop, so that the state of the exchange needs no locks.
                .onErrorResume(
                        BackendFailure.class,
                        failure -> caller.<CallerResponse>onLoop(
                                Mono.defer(() -> retryOrRefuse(server, current, body, failure))));
    }

    private Mono<CallerResponse> retryOrClaim(
            BackendServer server, BackendAttempt current, RequestBody body, CallerResponse response) {
        return caller.onLoop(Mono.defer(() -> {
            cancelQueued();
            return isRetryableError(response)
                    ? retryAfterError(server, current, body, response)
                    : claimResponse(response);
        }));
    }

    /** Sends the request to the alternative server, after the exchange with the slow server was abandoned. */
    private Mono<CallerResponse> switchTo(AlternativeDispatch alternative, RequestBody body) {
        return Mono.defer(() -> {
            queuedTicket = 0;
            earlierAttemptMayHaveRun = true;
            parts.meters().countRetry(RetryReason.SERVER_SLOW);
            retryPolicy.countAttempt();
            return dispatch(alternative.dispatch(), alternative.ticket(), body);
        });
    }

    /**
     * Schedules the checks that request another server if this one has not responded to an idempotent request: early
     * enough for another server to meet the target latency, and, if the work is estimated, once the silence is far longer
     * than such requests take.
     */
    private void scheduleSlowServerChecks(
            ScheduleDecision.Dispatch dispatch, BackendAttempt current, Sinks.One<AlternativeDispatch> alternative) {
        if (!request.isSafe() || !request.terms().retriesAfterError()) {
            return;
        }
        long targetNanos =
                (long) (TimeUnit.MILLISECONDS.toNanos(request.terms().targetLatencyMillis()) * SLOW_SERVER_SHARE);
        long stallNanos = dispatch.basis()
                .flatMap(ChoiceBasis::work)
                .map(WorkBasis::stallNanos)
                .getOrElse(0L);
        long firstNanos = targetNanos == 0 || stallNanos == 0
                ? Math.max(targetNanos, stallNanos)
                : Math.min(targetNanos, stallNanos);
        if (firstNanos > 0) {
            long secondNanos = Math.max(targetNanos, stallNanos) - firstNanos;
            scheduleSlowServerCheck(dispatch.server(), current, alternative, firstNanos, secondNanos);
        }
    }

    /**
     * Schedules a check. While the daemon drains, no other server is requested.
     *
     * @param nextNanos after which further time to check again if the retry was not allowed; 0 if not at all
     */
    private void scheduleSlowServerCheck(
            BackendServer server,
            BackendAttempt current,
            Sinks.One<AlternativeDispatch> alternative,
            long delayNanos,
            long nextNanos) {
        slowServerTimer = channel.eventLoop()
                .schedule(
                        () -> {
                            if (!isUnanswered(current) || parts.gate().isDraining()) {
                                return;
                            }
                            if (retryPolicy.allowRetry(RetryReason.SERVER_SLOW, current)) {
                                requestAlternative(server, current, alternative);
                            } else if (nextNanos > 0) {
                                scheduleSlowServerCheck(server, current, alternative, nextNanos, 0);
                            }
                        },
                        delayNanos,
                        TimeUnit.NANOSECONDS);
    }

    /** Requests another server; the exchange with the first server continues until the scheduler has assigned one. */
    private void requestAlternative(
            BackendServer server, BackendAttempt first, Sinks.One<AlternativeDispatch> alternative) {
        triedServers.add(server.id());
        long ticket = TICKETS.incrementAndGet();
        submit(ticket, decision -> {
            if (!(decision instanceof ScheduleDecision.Dispatch dispatch)) {
                return;
            }
            queuedTicket = ticket;
            if (isUnanswered(first) && !dispatch.server().id().equals(server.id())) {
                alternative.tryEmitValue(new AlternativeDispatch(dispatch, ticket));
            }
            if (queuedTicket == ticket) {
                // The first exchange got a response or ended in the meantime, or the scheduler chose the same server.
                cancelQueued();
            } else {
                first.abandon(FailureKind.STALLED);
            }
        });
    }

    private boolean isUnanswered(BackendAttempt current) {
        return phase.get() == Phase.RUNNING && attempt == current && !current.hasResponseHead();
    }

    private boolean isRetryableError(CallerResponse response) {
        return request.terms().retriesAfterError()
                && request.isSafe()
                && response instanceof CallerResponse.Buffered buffered
                && buffered.statusCode() >= SERVER_ERROR_STATUS;
    }

    /** Retries an idempotent request at another server after an error response, or relays that response. */
    private Mono<CallerResponse> retryAfterError(
            BackendServer server, BackendAttempt failed, RequestBody body, CallerResponse response) {
        if (phase.get() != Phase.RUNNING || !retryPolicy.allowRetry(RetryReason.SERVER_ERROR, failed)) {
            return claimResponse(response);
        }
        earlierAttemptMayHaveRun = true;
        triedServers.add(server.id());
        parts.meters().countRetry(RetryReason.SERVER_ERROR);
        return schedule(body);
    }

    private void observeHead(BackendServer server, HttpHeaders headers) {
        if (!"true".equals(headers.get(CallHeaders.BACKEND_SHED))) {
            parts.observer().answered(request.service(), server.id(), fingerprint, System.nanoTime());
        }
    }

    private Mono<CallerResponse> retryOrRefuse(
            BackendServer server, BackendAttempt failed, RequestBody body, BackendFailure failure) {
        Phase current = phase.get();
        if (current == Phase.ENDED) {
            return refuseAfterDeadline();
        }
        if (current == Phase.RELAYING) {
            return Mono.error(failure);
        }
        cancelQueued();
        earlierAttemptMayHaveRun |= failed.mayHaveRun();
        triedServers.add(server.id());
        if (failure.kind() == FailureKind.CONNECT) {
            retryPolicy.countConnectFailure();
        }
        RetryReason reason = retryReason(failure.kind());
        if (reason != null && retryPolicy.allowRetry(reason, failed)) {
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

    /**
     * Refuses a request whose failure coincides with the deadline; an error would reset the caller's connection
     * without a response.
     */
    private Mono<CallerResponse> refuseAfterDeadline() {
        BackendAttempt last = attempt;
        boolean mayHaveRun = earlierAttemptMayHaveRun || (last != null && last.mayHaveRun());
        return refuse(mayHaveRun ? RefusalReason.SERVER_TIMEOUT : RefusalReason.DEADLINE_PASSED, 0);
    }

    private static RetryReason retryReason(FailureKind kind) {
        return switch (kind) {
            case CONNECT -> RetryReason.CONNECT_FAILED;
            case SHED, MISDIRECTED -> RetryReason.SERVER_SHED;
            case TRUNCATED -> RetryReason.CONNECTION_LOST;
            case INVALID -> RetryReason.INVALID_RESPONSE;
            default -> null;
        };
    }

    /** Passes on the response; a buffered one is dropped if the exchange has ended, such as at its deadline. */
    private Mono<CallerResponse> claimResponse(CallerResponse response) {
        if (response instanceof CallerResponse.Streamed || phase.compareAndSet(Phase.RUNNING, Phase.RELAYING)) {
            return Mono.just(response);
        }
        return Mono.never();
    }

    private Mono<CallerResponse> relay(int statusCode, HttpHeaders headers, Flux<ByteBuf> body) {
        if (!phase.compareAndSet(Phase.RUNNING, Phase.RELAYING)) {
            body.subscribe().dispose();
            return Mono.never();
        }
        BodyRecorder recorder = new BodyRecorder(executesKey);
        progressNanos = System.nanoTime();
        caller.onLoop(this::checkStall);
        outbound.status(statusCode);
        outbound.responseHeaders().set(headers);
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            outbound.responseHeaders().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        addResponseHeaders(Outcome.BACKEND.label());
        Flux<ByteBuf> observed = body.doOnNext(part -> {
            progressNanos = System.nanoTime();
            recorder.append(part);
        });
        return Mono.from(outbound.send(new PacedBody(observed, channel), part -> true)
                        .then())
                .onErrorMap(
                        error -> !(error instanceof BackendFailure),
                        error -> new BackendFailure(FailureKind.CANCELLED, "the caller disconnected: " + error, 0))
                .doOnSuccess(done -> finishStream(statusCode, headers, recorder, true))
                .doOnError(error -> finishStream(statusCode, headers, recorder, false))
                .thenReturn(new CallerResponse.Streamed());
    }

    private void finishStream(int statusCode, HttpHeaders headers, BodyRecorder recorder, boolean complete) {
        if (keyUnfinished.get()) {
            finishKey(KeyedResponses.outcomeOf(statusCode, headers, recorder, complete));
        }
    }

    private void finishKey(CallerResponse response) {
        if (!keyUnfinished.get()) {
            return;
        }
        if (response instanceof CallerResponse.Refusal refusal) {
            finishKey(KeyedResponses.outcomeOf(refusal));
        } else if (response instanceof CallerResponse.Buffered buffered) {
            finishKey(KeyedResponses.outcomeOf(buffered));
        }
    }

    private void finishKey(KeyedOutcome outcome) {
        if (keyUnfinished.compareAndSet(true, false)) {
            parts.keyed().get().finish(keyTicket, outcome);
        }
    }

    private Mono<CallerResponse> refuse(RefusalReason reason, long retryAfterMillis) {
        return Mono.just(refusal(reason, retryAfterMillis));
    }

    private CallerResponse.Refusal refusal(RefusalReason reason, long retryAfterMillis) {
        BackendAttempt last = attempt;
        boolean mayHaveRun = earlierAttemptMayHaveRun || (last != null && last.mayHaveRun());
        Outcome known = keyStateUnknown ? CallerResponse.outcomeOfKey(reason) : reason.outcome();
        return new CallerResponse.Refusal(reason, mayHaveRun ? Outcome.UNKNOWN : known, retryAfterMillis);
    }

    private Mono<CallerResponse> refuseAfterFault(Throwable error) {
        Phase current = phase.get();
        if (current == Phase.ENDED) {
            return refuseAfterDeadline();
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
        // An internal error of the daemon: the caller gets a refusal with the known outcome instead of a bare error.
        LOG.errorf(error, "The exchange of request %s failed", request.requestId());
        return caller.onLoop(Mono.defer(() -> {
            stopWork(FailureKind.CANCELLED);
            return refuse(RefusalReason.SERVER_LOST, 0);
        }));
    }

    private Mono<Void> deliver(CallerResponse response) {
        if (response instanceof CallerResponse.Streamed) {
            countAnswer(Outcome.BACKEND);
            return Mono.empty();
        }
        if (guard.isBodyOpen()) {
            guard.closeAfterResponse();
        }
        if (response instanceof CallerResponse.Refusal refusal) {
            parts.meters().countRefusal(refusal.reason());
            request.workspace().forEach(workspace -> parts.meters().workspaces().countRefusal(workspace.id()));
            trace.recordOutcome(refusal.outcome().label(), refusal.reason().label());
            countAnswer(refusal.outcome());
            return Mono.from(RefusalWriter.write(parts.dialect(), outbound, refusal, request.requestId(), isClosing()));
        }
        CallerResponse.Buffered buffered = (CallerResponse.Buffered) response;
        countAnswer(Outcome.BACKEND);
        outbound.status(buffered.statusCode());
        outbound.responseHeaders().set(buffered.headers());
        addResponseHeaders(Outcome.BACKEND.label());
        if (buffered.bodyless()) {
            return Mono.from(outbound.send());
        }
        outbound.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(buffered.body().length));
        if (buffered.body().length == 0) {
            return Mono.from(outbound.send());
        }
        return Mono.from(outbound.sendByteArray(Mono.just(buffered.body())));
    }

    private void countAnswer(Outcome outcome) {
        parts.meters().countAnswer(outcome, request.parameters().rank(), System.nanoTime() - request.arrivalNanos());
    }

    private void addResponseHeaders(String outcome) {
        if (isClosing()) {
            outbound.keepAlive(false);
        }
        if (!parts.dialect().addsOutcomeHeaders()) {
            trace.recordOutcome(outcome, "");
            return;
        }
        HttpHeaders headers = outbound.responseHeaders();
        // A response that another daemon relayed already has the outcome.
        if (!headers.contains(CallHeaders.OUTCOME)) {
            headers.set(CallHeaders.OUTCOME, outcome);
        }
        headers.set(CallHeaders.REQUEST_ID, request.requestId().toString());
        trace.recordOutcome(headers.get(CallHeaders.OUTCOME), headers.get(CallHeaders.REASON));
    }

    private boolean isClosing() {
        return parts.gate().isDraining() || guard.isClosing();
    }

    private boolean enterPhase(Phase next) {
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

    private void handleDeadline() {
        Phase before = phase.get();
        if (!enterPhase(Phase.ENDED)) {
            if (before == Phase.RELAYING) {
                overrunTimer =
                        channel.eventLoop().schedule(this::endOverrun, MAX_RELAY_OVERRUN_MILLIS, TimeUnit.MILLISECONDS);
            }
            return;
        }
        if (keyedRequest != null && keyStateUnknown) {
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
                boolean mayHaveRun = last != null && last.mayHaveRun();
                interrupt(
                        mayHaveRun ? RefusalReason.SERVER_TIMEOUT : RefusalReason.DEADLINE_PASSED, FailureKind.STALLED);
            }
        }
    }

    /** Breaks off a response that is still being relayed long after the deadline. */
    private void endOverrun() {
        if (!ended) {
            stopWork(isCallerStalled() ? FailureKind.CANCELLED : FailureKind.STALLED);
            caller.reset();
        }
    }

    private boolean isCallerStalled() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending != null && pending.totalPendingWriteBytes() > 0;
    }

    @Override
    public void handleBodyFault(RefusalReason reason) {
        if (enterPhase(Phase.ENDED)) {
            interrupt(reason, FailureKind.CANCELLED);
        } else if (phase.get() == Phase.RELAYING) {
            caller.reset();
        }
    }

    @Override
    public void refuseUnassigned() {
        Phase current = phase.get();
        if ((current == Phase.READING || current == Phase.QUEUED) && enterPhase(Phase.ENDED)) {
            interrupt(RefusalReason.SHUTTING_DOWN, FailureKind.CANCELLED);
        }
    }

    @Override
    public void endNow() {
        if (enterPhase(Phase.ENDED)) {
            stopWork(FailureKind.CANCELLED);
            BackendAttempt last = attempt;
            boolean mayHaveRun = earlierAttemptMayHaveRun || (last != null && last.mayHaveRun());
            interrupt(mayHaveRun ? RefusalReason.SERVER_TIMEOUT : RefusalReason.SHUTTING_DOWN, FailureKind.CANCELLED);
        }
    }

    private void interrupt(RefusalReason reason, FailureKind kind) {
        // The exchange is stopped first, because only then it is certain whether the request was written.
        try {
            stopWork(kind);
        } finally {
            // The caller gets its response even if stopping the exchange fails.
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

    private void handleCallerDisconnect() {
        callerDisconnected = true;
        parts.meters().countCallerDisconnect();
        if (executesKey && phase.get() != Phase.RELAYING) {
            return;
        }
        if (enterPhase(Phase.ENDED) || phase.get() == Phase.RELAYING) {
            stopWork(FailureKind.CANCELLED);
        }
    }

    private void spendCreditIfSent() {
        BackendAttempt last = attempt;
        if (last != null && last.isStarted()) {
            credit.spend();
        }
    }

    private void releaseCredit() {
        spendCreditIfSent();
        credit.release();
    }

    private void releaseResources() {
        guard.removeExchange(this);
        caller.onLoop(guard.readAhead()::end);
        if (!executesKey || !callerDisconnected) {
            deadlineTimer.cancel(false);
        }
        cancelTimer(slowServerTimer);
        ended = true;
        cancelTimer(stallTimer);
        cancelTimer(overrunTimer);
    }

    private static void cancelTimer(ScheduledFuture<?> timer) {
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
            // The HTTP server may have handled a failed relay first and closed the caller's connection already.
            case ON_ERROR -> callerDisconnected ? RequestEnding.CALLER_LEFT : RequestEnding.RESET;
            default -> RequestEnding.CALLER_LEFT;
        };
    }

    private void checkStall() {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(parts.limits().stallTimeoutMillis());
        long idleNanos = System.nanoTime() - progressNanos;
        if (idleNanos < limitNanos) {
            stallTimer = channel.eventLoop().schedule(this::checkStall, limitNanos - idleNanos, TimeUnit.NANOSECONDS);
            return;
        }
        stopWork(isCallerStalled() ? FailureKind.CANCELLED : FailureKind.STALLED);
        caller.reset();
    }
}
