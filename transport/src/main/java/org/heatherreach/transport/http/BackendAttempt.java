package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Option;
import org.heatherreach.coordination.balance.ServerNotice;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.protocol.http.InvalidStatus;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.outcome.Outcome;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.NettyOutbound;
import reactor.netty.channel.ChannelOperations;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;

/**
 * One HTTP exchange with a backend server or with another daemon.
 *
 * <p>Invariants: {@link Listener#exchangeEnded} is called exactly once; the connection returns to the pool only if the
 * request was written completely and the response was read completely, without surplus bytes.
 *
 * <p>Thread safety: created on the event loop of the caller's connection; callbacks run on the event loop of the
 * backend connection.
 */
final class BackendAttempt {
    // Bodies of responses by which a server refuses a request are read up to 9,999 bytes, so that the connection can be
    // reused.
    private static final int MAX_DRAINED_LENGTH_DIGITS = 4;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;
    private static final byte[] NO_BYTES = new byte[0];

    private final CallDialect dialect;
    private final CallerRequest request;
    private final RequestBody body;
    private final ProxyLimits limits;
    private final Option<ServerId> server;
    private final RequestHeaderWriter headerWriter;
    private final long startNanos;
    private final Listener listener;
    private final Relay relay;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.NEW);
    private volatile Connection connection;
    private volatile Channel channel;
    private volatile BackendGuard guard;
    private volatile boolean requestSent;
    private volatile Throwable bodyError;
    private volatile boolean refusedByServer;
    /** Whether the last byte of the response has arrived, possibly before the caller took it. */
    private volatile boolean responseReceived;

    private volatile boolean responseComplete;
    private volatile long headArrivalNanos;
    private volatile int statusCode;

    private enum Stage {
        NEW,
        REQUEST_STARTED,
        ABANDONED
    }

    /** Receives the events of the exchange on the event loop of the backend connection. */
    @FunctionalInterface
    interface Listener {
        /** Called when the head of the response has arrived. */
        default void responseStarted(HttpHeaders headers) {}

        /** Called when the head of the server's response announces something about the server. */
        default void serverAnnounced(ServerNotice notice) {}

        /** Called once when the exchange has ended. */
        void exchangeEnded(ExchangeResult result);
    }

    /** Streams a response to the caller while its body arrives. */
    @FunctionalInterface
    interface Relay {
        /**
         * Returns a signal for the end of the relayed response; it is empty if the caller has already been answered.
         */
        Mono<CallerResponse> relay(int statusCode, HttpHeaders headers, Flux<ByteBuf> body);
    }

    /**
     * Creates an attempt.
     *
     * @param server the target server; none if the request is forwarded to another daemon
     * @param listener notified of the response head and of the end of the exchange
     * @param relay streams responses that are too large to be buffered
     */
    BackendAttempt(
            ProxyParts parts,
            CallerRequest request,
            RequestBody body,
            Option<ServerId> server,
            long nowNanos,
            Listener listener,
            Relay relay) {
        this.dialect = parts.dialect();
        this.server = Objects.requireNonNull(server, "server");
        this.request = Objects.requireNonNull(request, "request");
        this.body = Objects.requireNonNull(body, "body");
        this.limits = parts.limits();
        this.headerWriter = new RequestHeaderWriter(dialect, request, server, parts.incarnation());
        this.startNanos = nowNanos;
        this.listener = Objects.requireNonNull(listener, "listener");
        this.relay = Objects.requireNonNull(relay, "relay");
    }

    /** Sends the request and returns the response of the server, or a {@link BackendFailure}. */
    Mono<CallerResponse> run(HttpClient client) {
        return client.request(HttpMethod.valueOf(request.method()))
                .uri(request.target())
                .send(this::writeRequest)
                .responseConnection(this::readResponse)
                .singleOrEmpty()
                .onErrorMap(error -> !(error instanceof BackendFailure), this::toFailure)
                .doOnError(
                        error -> end(error instanceof BackendFailure failure ? failure.kind() : FailureKind.CANCELLED));
    }

    /** Returns whether a byte of the request may have reached a server, and the server did not refuse the request. */
    boolean mayHaveRun() {
        return stage.get() == Stage.REQUEST_STARTED && !refusedByServer;
    }

    /** Returns whether a byte of the request may have been sent. */
    boolean isStarted() {
        return stage.get() == Stage.REQUEST_STARTED;
    }

    /** Returns whether the head of a response has arrived. */
    boolean hasResponseHead() {
        return headArrivalNanos != 0;
    }

    /** Returns whether the request can be sent again, because it was not written yet or its body is buffered. */
    boolean isRetryable() {
        return stage.get() != Stage.REQUEST_STARTED || body.isRetained();
    }

    /** Ends the exchange because its response is no longer needed, and closes the connection if it is open. */
    void abandon(FailureKind kind) {
        // Decides the race with writeRequest(): from here on, the request is either never written or counts as sent.
        stage.compareAndSet(Stage.NEW, Stage.ABANDONED);
        end(kind);
        // Uses the stored channel: after the end of the exchange the connection no longer has a channel, and a call of
        // eventLoop() would throw.
        Channel openChannel = channel;
        if (openChannel != null && !responseComplete) {
            openChannel.eventLoop().execute(() -> closeUnfinished(openChannel));
        }
    }

    private void closeUnfinished(Channel openChannel) {
        Connection currentConnection = connection;
        if (responseComplete || ChannelOperations.get(openChannel) != currentConnection) {
            return;
        }
        // Releases data that arrived before the response had a subscriber. If there is one already, the second
        // subscription fails without any other effect.
        currentConnection.inbound().receive().subscribe(part -> {}, error -> {}).dispose();
        openChannel.close();
    }

    private Publisher<Void> writeRequest(HttpClientRequest outboundRequest, NettyOutbound outbound) {
        outbound.withConnection(this::attachConnection);
        long remainingNanos = request.deadlineNanos() - System.nanoTime();
        if (remainingNanos <= 0 || !stage.compareAndSet(Stage.NEW, Stage.REQUEST_STARTED)) {
            return Mono.error(new BackendFailure(
                    FailureKind.CANCELLED,
                    "the exchange was abandoned or its deadline passed before the request was sent",
                    0));
        }
        HttpHeaders headers = outboundRequest.requestHeaders();
        headerWriter.write(headers, Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
        return body.isRetained() ? writeRetained(headers, outbound) : writeStream(headers, outbound);
    }

    private Publisher<Void> writeRetained(HttpHeaders headers, NettyOutbound outbound) {
        requestSent = true;
        if (body.bytes().length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.bytes().length));
            return outbound.send(Mono.fromSupplier(body::toBuffer)).then();
        }
        return outbound.then();
    }

    private Publisher<Void> writeStream(HttpHeaders headers, NettyOutbound outbound) {
        if (body.lengthBytes() < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        Flux<ByteBuf> stream =
                body.stream().doOnComplete(() -> requestSent = true).doOnError(error -> bodyError = error);
        return outbound.send(new PacedBody(stream, channel), buffer -> true).then();
    }

    private void attachConnection(Connection newConnection) {
        connection = newConnection;
        channel = newConnection.channel();
        guard = newConnection.channel().pipeline().get(BackendGuard.class);
        guard.begin(request.method(), () -> responseReceived = true);
    }

    private Publisher<CallerResponse> readResponse(HttpClientResponse response, Connection openConnection) {
        headArrivalNanos = System.nanoTime();
        listener.responseStarted(response.responseHeaders());
        statusCode = response.status().code();
        HttpHeaders headers = new DefaultHttpHeaders();
        HopByHopHeaders.copy(
                response.responseHeaders(), headers, server.isDefined() ? dialect.omittedResponseHeaderPrefix() : "");
        ResponseKind kind = server.isDefined()
                ? dialect.classifyResponse(statusCode, response.responseHeaders())
                : ResponseKind.EXECUTED;
        String echoedId = server.isDefined()
                ? dialect.echoedId(response.responseHeaders()).getOrNull()
                : response.responseHeaders().get(CallHeaders.REQUEST_ID);
        if (echoedId != null && !echoedId.equals(request.requestId().value())) {
            // The response to this request may still arrive and must not be taken for that of the next request.
            guard.closeUntrusted();
            return discard(
                    openConnection,
                    new BackendFailure(
                            FailureKind.TRUNCATED, "the response carries the id of another request: " + echoedId, 0));
        }
        if (server.isDefined() && kind != ResponseKind.MISDIRECTED) {
            passOnNotice(response.responseHeaders());
        }
        if (kind == ResponseKind.SHED || kind == ResponseKind.MISDIRECTED) {
            return drainRefusal(response, openConnection, kind, echoedId != null);
        }
        if (kind == ResponseKind.UNVERIFIED) {
            guard.closeUntrusted();
            return discard(
                    openConnection,
                    new BackendFailure(
                            FailureKind.TRUNCATED, "the response lacks the proof that the server sent it", 0));
        }
        if (guard.isCloseDelimited() && !dialect.relaysCloseDelimitedResponses()) {
            guard.closeUntrusted();
            return discard(
                    openConnection,
                    new BackendFailure(
                            FailureKind.TRUNCATED,
                            "the response has no length, so a truncated body can't be detected",
                            0));
        }
        boolean bodyless = "HEAD".equals(request.method()) || statusCode == 204 || statusCode == 304;
        long lengthBytes = headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                ? Long.parseLong(headers.get(HttpHeaderNames.CONTENT_LENGTH))
                : -1;
        if (bodyless) {
            return openConnection
                    .inbound()
                    .receive()
                    .then(Mono.fromSupplier(
                            () -> completeWith(new CallerResponse.Buffered(statusCode, headers, NO_BYTES, true))));
        }
        boolean buffered = lengthBytes >= 0
                && lengthBytes <= limits.retainedBodyBytes()
                && (lengthBytes == 0 || request.memory().tryAddBuffer(lengthBytes));
        if (buffered) {
            return openConnection
                    .inbound()
                    .receive()
                    .collect(SegmentedBuffer::new, SegmentedBuffer::append)
                    .map(bytes ->
                            completeWith(new CallerResponse.Buffered(statusCode, headers, bytes.toBytes(), false)));
        }
        // The request has run, so its response is relayed even if the budget has no room.
        request.memory().addUnchecked(MemoryCharge.STREAM_BYTES);
        Flux<ByteBuf> content = openConnection.inbound().receive().retain().doOnComplete(this::complete);
        return relay.relay(statusCode, headers, content.onErrorMap(this::toFailure));
    }

    private void passOnNotice(HttpHeaders responseHeaders) {
        ServerNotice notice = new ServerNotice(
                dialect.announcesLeaving(responseHeaders),
                dialect.quietMillis(statusCode, responseHeaders)
                        .map(millis -> headArrivalNanos + TimeUnit.MILLISECONDS.toNanos(millis)));
        if (!notice.isEmpty()) {
            listener.serverAnnounced(notice);
        }
    }

    /**
     * Returns the failure of a refused request. The connection is kept only if the refusal carries the id of its request:
     * a server that wrote another refusal once more could not be told from one that refuses the next request.
     */
    private Publisher<CallerResponse> drainRefusal(
            HttpClientResponse response, Connection openConnection, ResponseKind kind, boolean hasId) {
        refusedByServer = true;
        BackendFailure failure = new BackendFailure(
                kind == ResponseKind.SHED ? FailureKind.SHED : FailureKind.MISDIRECTED,
                "the server did not run the request",
                RetryAfter.parseMillis(response.responseHeaders().get(HttpHeaderNames.RETRY_AFTER))
                        .getOrElse(DEFAULT_RETRY_AFTER_MILLIS));
        String length = response.responseHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        boolean isShort = length != null && length.length() <= MAX_DRAINED_LENGTH_DIGITS;
        if (!isShort || !hasId || !limits.reusesBackendConnections()) {
            return discard(openConnection, failure);
        }
        return openConnection
                .inbound()
                .receive()
                .then(Mono.defer(() -> {
                    responseComplete = true;
                    return Mono.<CallerResponse>error(failure);
                }))
                .onErrorMap(error -> failure);
    }

    /** Releases received data, which would otherwise stay queued, and returns the failure. */
    private static Mono<CallerResponse> discard(Connection openConnection, BackendFailure failure) {
        openConnection.inbound().receive().subscribe().dispose();
        return Mono.error(failure);
    }

    private CallerResponse completeWith(CallerResponse.Buffered buffered) {
        complete();
        return buffered;
    }

    /**
     * Ends the exchange after the last part of the response.
     *
     * @throws RequestRefusal if the body of the request was refused while the response arrived
     * @throws BackendFailure if the response is truncated
     */
    private void complete() {
        if (!responseReceived) {
            throw truncation();
        }
        responseComplete = true;
        if (!requestSent) {
            channel.close();
        }
        end(statusCode >= 500 ? FailureKind.ERROR : FailureKind.NONE);
    }

    /** The HTTP client also ends a response without an error if the rest of its request can't be sent. */
    private RuntimeException truncation() {
        if (bodyError instanceof RequestRefusal refusal) {
            return refusal;
        }
        return new BackendFailure(
                bodyError == null ? FailureKind.TRUNCATED : FailureKind.CANCELLED,
                "the exchange ended before the response was complete",
                0);
    }

    private Throwable toFailure(Throwable error) {
        if (error instanceof BackendFailure || error instanceof RequestRefusal) {
            return error;
        }
        Stage reached = stage.get();
        if (reached != Stage.REQUEST_STARTED) {
            return new BackendFailure(
                    reached == Stage.ABANDONED ? FailureKind.CANCELLED : FailureKind.CONNECT,
                    "no connection to the server: " + error,
                    0);
        }
        // The guard closed the connection, which the HTTP client reports as a lost one.
        BackendGuard currentGuard = guard;
        Option<InvalidStatus> invalidStatus = currentGuard == null ? Option.none() : currentGuard.invalidStatus();
        return invalidStatus
                .map(reason -> new BackendFailure(
                        FailureKind.INVALID, "the status of the response is invalid: " + reason.label(), 0))
                .getOrElse(() -> new BackendFailure(
                        FailureKind.TRUNCATED, "the connection failed while the request was in flight: " + error, 0));
    }

    private void end(FailureKind kind) {
        if (ended.compareAndSet(false, true)) {
            long endNanos = headArrivalNanos != 0 ? headArrivalNanos : System.nanoTime();
            Outcome outcome = kind.isAnswered() && kind != FailureKind.SHED
                    ? Outcome.BACKEND
                    : mayHaveRun() ? Outcome.UNKNOWN : Outcome.NOT_RUN;
            listener.exchangeEnded(new ExchangeResult(outcome, endNanos - startNanos, kind));
        }
    }
}
