package org.heatherreach.transport.http;

import java.util.function.Consumer;

/**
 * Ensures that requests with an execution key run at most once. Every method may be called by any thread and returns
 * immediately. A callback is called exactly once, by any thread, and must not block.
 *
 * <p>After a {@link KeyedDecision.Admit} the request path calls {@link #prepare} when the request has a slot, and sends
 * the request only after a {@link KeyedDecision.Dispatch}. In every case it calls {@link #finish} exactly once per
 * ticket. It sends the request to a second server only if the first provably did not run it.
 */
public interface KeyedExecution {
    /**
     * Starts the processing of a request.
     *
     * @param callback receives {@code Admit}, {@code Replay}, {@code Refuse} or {@code Forward}
     */
    void begin(KeyedRequest request, Consumer<KeyedDecision> callback);

    /**
     * Prepares an admitted request that has a slot for being sent. It is called again for each further server.
     *
     * @param callback receives {@code Dispatch} or {@code Refuse}
     */
    void prepare(long ticket, Consumer<KeyedDecision> callback);

    /**
     * Finds the outcome of a request that could not be forwarded, or to which the executor did not respond.
     *
     * @param callback receives {@code Replay} or {@code Refuse}
     */
    void resolve(KeyedRequest request, Consumer<KeyedDecision> callback);

    /** Records how an admitted request ended. */
    void finish(long ticket, KeyedOutcome outcome);
}
