package org.heatherreach.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;

/** A response of the request path to a caller. Implementations are not modified after creation. */
sealed interface CallerResponse {
    /**
     * Returns the known outcome of an execution key whose request is refused before the records of the key are read. An
     * earlier request with the key may have run, unless this request is malformed and therefore differs from every
     * request that can have run.
     */
    static Outcome outcomeOfKey(RefusalReason reason) {
        boolean malformed = reason.statusCode() == 400 || reason == RefusalReason.BODY_TOO_LARGE;
        return malformed ? reason.outcome() : Outcome.UNKNOWN;
    }

    /**
     * A refusal that the daemon generates itself.
     *
     * @param reason why the request is refused
     * @param outcome what is known about the execution; {@code unknown} if a server may have received the request
     * @param retryAfterMillis the time after which a retry may succeed; 0 if unknown
     */
    record Refusal(RefusalReason reason, Outcome outcome, long retryAfterMillis) implements CallerResponse {}

    /**
     * A backend or recorded response that is complete before its first byte is sent to the caller.
     *
     * @param statusCode the HTTP status code
     * @param headers the headers to relay, without hop-by-hop headers
     * @param body the body; empty if the response has none
     * @param bodyless whether the response has no body, even if it has a {@code Content-Length} header
     */
    record Buffered(int statusCode, HttpHeaders headers, byte[] body, boolean bodyless) implements CallerResponse {}

    /** A response that was streamed to the caller to its end. */
    record Streamed() implements CallerResponse {}
}
