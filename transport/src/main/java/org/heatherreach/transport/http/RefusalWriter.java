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

/** Writes the answers that the daemon gives itself. Stateless. */
final class RefusalWriter {
    private static final int DEFAULT_RETRY_MIN_MILLIS = 500;
    private static final int DEFAULT_RETRY_MAX_MILLIS = 2500;

    private RefusalWriter() {}

    static Publisher<Void> write(
            HttpServerResponse response, Answer.Refusal refusal, RequestId requestId, boolean closing) {
        response.status(refusal.reason().statusCode());
        HttpHeaders headers = response.responseHeaders();
        headers.set(CallHeaders.OUTCOME, refusal.outcome().label());
        headers.set(CallHeaders.REASON, refusal.reason().label());
        headers.set(CallHeaders.REQUEST_ID, requestId.toString());
        if (refusal.reason().isTransient() || refusal.retryAfterMillis() > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds(refusal.retryAfterMillis())));
        }
        if (closing) {
            response.keepAlive(false);
        }
        byte[] text = (refusal.outcome().label() + ": " + refusal.reason().label() + "\n")
                .getBytes(StandardCharsets.US_ASCII);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(text.length));
        return response.sendByteArray(Mono.just(text));
    }

    /** Rounds up to seconds, the unit of the header, after spreading the repetitions of many callers over time. */
    private static long seconds(long retryAfterMillis) {
        long millis = retryAfterMillis > 0
                ? retryAfterMillis
                : ThreadLocalRandom.current().nextInt(DEFAULT_RETRY_MIN_MILLIS, DEFAULT_RETRY_MAX_MILLIS);
        return Math.max(1, (millis + 999) / 1000);
    }
}
