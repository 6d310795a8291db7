package org.heatherreach.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;

/** How the request path answers a caller. Implementations are not modified after creation. */
sealed interface Answer {
    /**
     * Returns what is known about a key whose request is refused before its records are consulted. An earlier request
     * with the key may have run, unless this one is malformed and so differs from any that could.
     */
    static Outcome outcomeOfKey(RefusalReason reason) {
        boolean malformed = reason.statusCode() == 400 || reason == RefusalReason.BODY_TOO_LARGE;
        return malformed ? reason.outcome() : Outcome.UNKNOWN;
    }

    /**
     * The daemon answers itself.
     *
     * @param reason the reason
     * @param outcome what is known about the execution; {@code unknown} if a server may have seen the request
     * @param retryAfterMillis when a repetition may succeed; 0 if unknown
     */
    record Refusal(RefusalReason reason, Outcome outcome, long retryAfterMillis) implements Answer {}

    /**
     * A response that was read completely before any byte of it is relayed.
     *
     * @param statusCode the status
     * @param headers the headers to relay, without hop-by-hop headers
     * @param body the body; empty for a response without one
     * @param bodyless whether the response has no body whatever its length header says
     */
    record Whole(int statusCode, HttpHeaders headers, byte[] body, boolean bodyless) implements Answer {}

    /** A response that was relayed completely while it arrived. */
    record Streamed() implements Answer {}
}
