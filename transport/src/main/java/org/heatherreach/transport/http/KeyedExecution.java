package org.heatherreach.transport.http;

import java.util.function.Consumer;

/**
 * Guards requests that must run at most once. Every method may be called by any thread and returns at once.
 *
 * <p>After a {@link KeyedDecision.Dispatch} the request path calls {@link #finish} exactly once; it sends the request
 * to a second server only if the first provably did not run it.
 */
public interface KeyedExecution {
    /**
     * Asks what to do with a request.
     *
     * @param callback receives the decision exactly once, from any thread, and does not block
     */
    void begin(KeyedRequest request, Consumer<KeyedDecision> callback);

    /** Records how a dispatched request ended. */
    void finish(String key, KeyedOutcome outcome);
}
