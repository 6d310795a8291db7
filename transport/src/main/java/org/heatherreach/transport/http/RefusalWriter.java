package org.heatherreach.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.state.id.RequestId;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes the refusals that the daemon generates itself. Stateless. */
final class RefusalWriter {
    static final int DEFAULT_RETRY_MIN_MILLIS = 500;
    static final int DEFAULT_RETRY_MAX_MILLIS = 2500;

    private RefusalWriter() {}

    static Publisher<Void> write(
            CallDialect dialect,
            HttpServerResponse response,
            CallerResponse.Refusal refusal,
            RequestId requestId,
            boolean closing) {
        int statusCode = dialect.statusCode(refusal.reason(), refusal.outcome());
        response.status(statusCode);
        HttpHeaders headers = response.responseHeaders();
        headers.set(CallHeaders.OUTCOME, refusal.outcome().label());
        headers.set(CallHeaders.REASON, refusal.reason().label());
        headers.set(CallHeaders.REQUEST_ID, requestId.toString());
        if (hasRetryAfter(statusCode, refusal.retryAfterMillis())) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    dialect.retryAfter(retryAfterOrRandomMillis(refusal.retryAfterMillis())));
        }
        if (closing) {
            response.keepAlive(false);
        }
        byte[] body = (refusal.outcome().label() + ": " + refusal.reason().label() + "\n")
                .getBytes(StandardCharsets.US_ASCII);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        return response.sendByteArray(Mono.just(body));
    }

    /** Returns whether a refusal tells the caller when to retry. */
    static boolean hasRetryAfter(int statusCode, long retryAfterMillis) {
        return statusCode == 503 || statusCode == 429 || retryAfterMillis > 0;
    }

    /** Returns the given time, or a random one if it is 0, so that the retries of many callers are spread over time. */
    private static long retryAfterOrRandomMillis(long retryAfterMillis) {
        return retryAfterMillis > 0
                ? retryAfterMillis
                : ThreadLocalRandom.current().nextInt(DEFAULT_RETRY_MIN_MILLIS, DEFAULT_RETRY_MAX_MILLIS);
    }
}
