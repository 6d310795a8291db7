package org.heatherreach.transport.http;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.regex.Pattern;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryBudget;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Accepts or refuses each request by its head and starts its exchange. Safe for use by any thread; the exchange of a
 * request is bound to the event loop of its connection.
 */
final class ProxyHandler implements BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> {
    private static final Pattern TARGET = Pattern.compile("/[!-~&&[^#\\\\<>\"^`{|}]]*");
    private static final int ENDPOINT_BODY_BYTES = 64 * 1024;

    private final ProxyParts parts;
    private final BackendClients clients;
    private final Map<String, Endpoint> endpoints;
    private final RetryBudgets budgets = new RetryBudgets();

    /**
     * Creates a handler.
     *
     * @param endpoints the daemon's own endpoints; a key consists of the method, a space and the path
     */
    ProxyHandler(ProxyParts parts, BackendClients clients, Map<String, Endpoint> endpoints) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.clients = Objects.requireNonNull(clients, "clients");
        this.endpoints = Map.copyOf(endpoints);
    }

    RetryBudgets budgets() {
        return budgets;
    }

    @Override
    public Publisher<Void> apply(HttpServerRequest request, HttpServerResponse response) {
        long arrivalNanos = System.nanoTime();
        AtomicReference<Channel> channel = new AtomicReference<>();
        request.withConnection(connection -> channel.set(connection.channel()));
        if (parts.dialect().isEndpoint(request.uri())) {
            return serveEndpoint(request, response, channel.get());
        }
        parts.meters().begin();
        return Mono.defer(() -> proxy(request, response, channel.get(), arrivalNanos))
                .doFinally(signal -> parts.meters().end());
    }

    private Mono<Void> proxy(
            HttpServerRequest request, HttpServerResponse response, Channel channel, long arrivalNanos) {
        Either<RefusalReason, CallerRequest> accepted = accept(request, arrivalNanos);
        if (accepted.isLeft()) {
            return refuse(accepted.getLeft(), request, response, channel);
        }
        return Mono.using(
                accepted.get()::memory,
                memory -> memory.tryAdd(MemoryCharge.REQUEST_BYTES)
                        ? exchange(accepted.get(), request, response, channel)
                        : refuse(RefusalReason.MEMORY_LIMIT, request, response, channel),
                MemoryCharge::release);
    }

    private Mono<Void> exchange(
            CallerRequest call, HttpServerRequest request, HttpServerResponse response, Channel channel) {
        parts.meters().countRequest(call.parameters().rank());
        call.workspace().forEach(workspace -> parts.meters().workspaces().countRequest(workspace.id()));
        RetryBudget budget = budgets.of(call.service(), call.arrivalNanos());
        budget.countRequest(call.arrivalNanos());
        return new CallerExchange(parts, clients, budget, call, request, response, channel).run();
    }

    private Either<RefusalReason, CallerRequest> accept(HttpServerRequest request, long arrivalNanos) {
        Option<RefusalReason> gateRefusal = parts.gate().refusal();
        if (gateRefusal.isDefined()) {
            return Either.left(gateRefusal.get());
        }
        HttpHeaders headers = request.requestHeaders();
        String method = request.method().name();
        boolean asteriskForm = "*".equals(request.uri()) && "OPTIONS".equals(method);
        if ((!asteriskForm && !TARGET.matcher(request.uri()).matches())
                || "CONNECT".equals(method)
                || "TRACE".equals(method)) {
            return Either.left(RefusalReason.BAD_REQUEST);
        }
        return parts.dialect()
                .accept(method, request.uri(), headers)
                .map(call -> new CallerRequest(
                        method,
                        request.uri(),
                        headers,
                        call.parameters(),
                        call.service(),
                        call.requestId(),
                        call.terms(),
                        call.tableVersion(),
                        call.workspace(),
                        parts.memory().open(call.parameters().rank()),
                        arrivalNanos,
                        arrivalNanos + TimeUnit.MILLISECONDS.toNanos(call.timeoutMillis())));
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private Mono<Void> refuse(
            RefusalReason reason, HttpServerRequest request, HttpServerResponse response, Channel channel) {
        parts.meters().countRefusal(reason);
        CallerGuard guard = channel.pipeline().get(CallerGuard.class);
        HttpHeaders headers = request.requestHeaders();
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING) || guard.isBodyOpen()) {
            guard.closeAfterResponse();
        }
        // The id of the request is kept, because a daemon that forwarded the request takes a response with a different
        // id for the response to another request.
        RequestId requestId = parts.dialect().requestId(headers).getOrElse(parts.requestIds());
        boolean keyed = headers.contains(CallHeaders.KEY);
        CallerResponse.Refusal refusal =
                new CallerResponse.Refusal(reason, keyed ? CallerResponse.outcomeOfKey(reason) : reason.outcome(), 0);
        parts.history().add(EndedRequest.refusedAtHead(requestId, refusal.outcome(), reason));
        boolean closing = parts.gate().isDraining() || guard.isClosing() || reason == RefusalReason.SHUTTING_DOWN;
        return Mono.from(RefusalWriter.write(parts.dialect(), response, refusal, requestId, closing));
    }

    private Publisher<Void> serveEndpoint(HttpServerRequest request, HttpServerResponse response, Channel channel) {
        String path = pathOf(request.uri());
        String argument = "";
        Endpoint endpoint = endpoints.get(request.method().name() + ' ' + path);
        if (endpoint == null && path.length() > CallHeaders.ENDPOINT_PREFIX.length()) {
            int slash = path.indexOf('/', CallHeaders.ENDPOINT_PREFIX.length());
            if (slash > 0) {
                argument = path.substring(slash + 1);
                endpoint = endpoints.get(request.method().name() + ' ' + path.substring(0, slash + 1));
            }
        }
        if (endpoint == null) {
            return refuse(RefusalReason.BAD_REQUEST, request, response, channel);
        }
        Endpoint resolvedEndpoint = endpoint;
        String endpointArgument = argument;
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> body.length > ENDPOINT_BODY_BYTES
                        ? Mono.just(
                                EndpointResponse.text(RefusalReason.BODY_TOO_LARGE.statusCode(), "body too large\n"))
                        : resolvedEndpoint.handle(endpointArgument, body))
                .flatMap(answer -> {
                    response.status(answer.statusCode());
                    HttpHeaders headers = response.responseHeaders();
                    headers.set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
                    headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(answer.body().length));
                    headers.set(CallHeaders.OUTCOME, Outcome.BACKEND.label());
                    headers.set(CallHeaders.REQUEST_ID, parts.requestIds().get().toString());
                    if (parts.gate().isDraining()) {
                        response.keepAlive(false);
                    }
                    return Mono.from(response.sendByteArray(Mono.just(answer.body())));
                });
    }
}
