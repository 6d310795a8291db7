package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.protocol.http.CallParameters;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.route.CallerLimits;

/** The dialect with Heatherreach headers. Immutable and safe for use by any thread. */
public final class NativeDialect implements CallDialect {
    private final ServiceCatalog catalog;
    private final Supplier<RequestId> requestIds;
    private final int attempts;

    /**
     * Creates the dialect.
     *
     * @param catalog routes and limits
     * @param requestIds generates request ids
     * @param attempts the maximum number of servers that a request is sent to
     */
    public NativeDialect(ServiceCatalog catalog, Supplier<RequestId> requestIds, int attempts) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.requestIds = Objects.requireNonNull(requestIds, "requestIds");
        this.attempts = attempts;
    }

    @Override
    public boolean isEndpoint(String target) {
        return target.startsWith(CallHeaders.ENDPOINT_PREFIX);
    }

    @Override
    public Either<RefusalReason, AcceptedCall> accept(String method, String target, HttpHeaders headers) {
        return CallParameters.parse(headers::getAll).flatMap(parameters -> {
            Option<ServiceId> service = parameters
                    .service()
                    .orElse(() -> catalog.route(pathOf(target)))
                    .filter(id -> catalog.serviceLimits(id).isDefined());
            if (service.isEmpty()) {
                return Either.left(RefusalReason.UNKNOWN_SERVICE);
            }
            long timeoutMillis = parameters
                    .timeoutMillis()
                    .map(Integer::longValue)
                    .getOrElse(() -> (long)
                            catalog.rankLimits(service.get(), parameters.rank()).timeoutMillis());
            return Either.right(new AcceptedCall(
                    parameters,
                    service.get(),
                    parameters.requestId().getOrElse(requestIds),
                    timeoutMillis,
                    CallTerms.of(ProxyMode.isSafe(method), parameters.rank(), attempts),
                    0,
                    Option.none()));
        });
    }

    @Override
    public Option<RequestId> requestId(HttpHeaders headers) {
        return CallParameters.requestId(headers::getAll);
    }

    @Override
    public boolean addsOutcomeHeaders() {
        return true;
    }

    @Override
    public void addRequestHeaders(HttpHeaders headers, RequestId requestId, ServerId server, long remainingMillis) {
        headers.set(CallHeaders.TIMEOUT_MS, Long.toString(remainingMillis));
        headers.set(CallHeaders.REQUEST_ID, requestId.toString());
        headers.remove(CallHeaders.FORWARDED);
    }

    @Override
    public ResponseKind classifyResponse(int statusCode, HttpHeaders headers) {
        boolean shed = statusCode == 503
                && headers.contains(HttpHeaderNames.RETRY_AFTER)
                && "true".equals(headers.get(CallHeaders.BACKEND_SHED));
        return shed ? ResponseKind.SHED : ResponseKind.EXECUTED;
    }

    @Override
    public boolean announcesLeaving(HttpHeaders headers) {
        return "true".equals(headers.get(CallHeaders.BACKEND_DRAINING));
    }

    @Override
    public Option<Long> quietMillis(int statusCode, HttpHeaders headers) {
        return classifyResponse(statusCode, headers) == ResponseKind.SHED
                ? RetryAfter.parseMillis(headers.get(HttpHeaderNames.RETRY_AFTER))
                : Option.none();
    }

    @Override
    public Option<String> echoedId(HttpHeaders headers) {
        return Option.of(headers.get(CallHeaders.REQUEST_ID));
    }

    @Override
    public String omittedResponseHeaderPrefix() {
        return CallHeaders.PREFIX;
    }

    @Override
    public boolean relaysCloseDelimitedResponses() {
        return false;
    }

    @Override
    public int statusCode(RefusalReason reason, Outcome outcome) {
        return reason.statusCode();
    }

    /** Rounds up to full seconds, the unit of the header. */
    @Override
    public String retryAfter(long millis) {
        return Long.toString(Math.max(1, (millis + 999) / 1000));
    }

    @Override
    public Option<CallerLimits> callerLimits() {
        return Option.none();
    }

    @Override
    public boolean fingerprintIncludesCaller() {
        return false;
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
