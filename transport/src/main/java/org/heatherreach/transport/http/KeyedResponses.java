package org.heatherreach.transport.http;

import java.util.Arrays;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.heatherreach.protocol.http.CallHeaders;
import org.heatherreach.state.outcome.Outcome;

/** Converts between responses to callers and the outcomes that are recorded for execution keys. Stateless. */
final class KeyedResponses {
    private KeyedResponses() {}

    /** Returns the response that replays a recorded response. */
    static CallerResponse replay(RecordedResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(CallHeaders.REPLAYED, response.complete() ? "complete" : "truncated");
        if (!response.contentType().isEmpty()) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
        }
        boolean bodyless = response.statusCode() == 204 || response.statusCode() == 304;
        return new CallerResponse.Buffered(response.statusCode(), headers, response.body(), bodyless);
    }

    /** Returns the outcome to record for a refusal. */
    static KeyedOutcome outcomeOf(CallerResponse.Refusal refusal) {
        return refusal.outcome() == Outcome.NOT_RUN
                ? new KeyedOutcome.NotRun(refusal.reason())
                : new KeyedOutcome.Unknown(refusal.reason());
    }

    /** Returns the outcome to record for a buffered response; a long body is truncated. */
    static KeyedOutcome outcomeOf(CallerResponse.Buffered buffered) {
        boolean truncated = buffered.body().length > ProxyLimits.RECORDED_BYTES;
        byte[] recorded = truncated ? Arrays.copyOf(buffered.body(), ProxyLimits.RECORDED_BYTES) : buffered.body();
        return new KeyedOutcome.Answered(
                new RecordedResponse(buffered.statusCode(), contentType(buffered.headers()), recorded, !truncated));
    }

    /** Returns the outcome to record for a streamed response. */
    static KeyedOutcome outcomeOf(int statusCode, HttpHeaders headers, BodyRecorder recorder, boolean complete) {
        return new KeyedOutcome.Answered(new RecordedResponse(
                statusCode, contentType(headers), recorder.bytes(), complete && !recorder.isTruncated()));
    }

    private static String contentType(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.CONTENT_TYPE);
        return value == null ? "" : value;
    }
}
