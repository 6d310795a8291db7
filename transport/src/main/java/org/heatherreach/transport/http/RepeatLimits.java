package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.coordination.admission.RetryBudget;
import org.heatherreach.state.outcome.RetryReason;

/**
 * Decides whether one request may be sent to a further server.
 *
 * <p>Invariants: a request that may have run is repeated only if it may run twice; no request is sent to more servers than
 * its terms allow; repeats stay within the retry budget, except after a failed connection, by which nothing arrived.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class RepeatLimits {
    /** Nothing reached a server by a failed connection, so these have a limit of their own. */
    private static final int CONNECT_FAILURE_LIMIT = 5;

    private final ProxyParts parts;
    private final CallerRequest request;
    private final RetryBudget budget;
    private int attempts;
    private int connectFailures;

    RepeatLimits(ProxyParts parts, CallerRequest request, RetryBudget budget) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.request = Objects.requireNonNull(request, "request");
        this.budget = Objects.requireNonNull(budget, "budget");
    }

    /** Counts that the request is handed to the scheduler. */
    void countAttempt() {
        attempts++;
    }

    /** Counts that the last attempt found no connection. */
    void countConnectFailure() {
        attempts--;
        connectFailures++;
    }

    /** Returns whether the request may be repeated; a permitted repeat is taken out of the budget. */
    boolean allow(RetryReason reason, BackendAttempt failed) {
        boolean safe = request.isSafe() && request.key().isEmpty();
        long nowNanos = System.nanoTime();
        if (attempts >= request.terms().attempts()
                || connectFailures >= CONNECT_FAILURE_LIMIT
                || !failed.isRepeatable()
                || nowNanos - request.deadlineNanos() >= 0
                || !parts.mode().mayRepeat(reason, safe)) {
            return false;
        }
        return reason == RetryReason.CONNECT_FAILED || parts.mode() != ProxyMode.FLEET || takeFromBudget(nowNanos);
    }

    private boolean takeFromBudget(long nowNanos) {
        int percent = parts.catalog()
                .serviceLimits(request.service())
                .map(limits -> limits.retryPercent())
                .getOrElse(0);
        boolean taken = budget.tryAcquire(
                nowNanos,
                percent,
                parts.catalog().retrySlack(request.service()),
                parts.catalog().peerRetries(request.service()));
        if (!taken) {
            parts.meters().countRetryWithoutBudget();
        }
        return taken;
    }
}
