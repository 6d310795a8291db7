package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.coordination.admission.RetryBudget;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.state.outcome.RetryReason;

/**
 * Decides whether a request may be retried at another server.
 *
 * <p>Invariants: no request is sent to more servers than its terms allow. Unless the mode is {@link ProxyMode#NAIVE}, a
 * request that may have run is retried only if it may run twice, and retries stay within the retry budget, except after
 * a failed connection attempt, in which nothing reached a server.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class RetryPolicy {
    /**
     * Failed connection attempts don't count as attempts, because nothing reached a server, so they have their own
     * limit.
     */
    private static final int CONNECT_FAILURE_LIMIT = 5;

    private final ProxyParts parts;
    private final CallerRequest request;
    private final RetryBudget budget;
    private int attempts;
    private int connectFailures;

    RetryPolicy(ProxyParts parts, CallerRequest request, RetryBudget budget) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.request = Objects.requireNonNull(request, "request");
        this.budget = Objects.requireNonNull(budget, "budget");
    }

    /** Counts a submission of the request to the scheduler. */
    void countAttempt() {
        attempts++;
    }

    /** Counts the last attempt as a failed connection attempt instead. */
    void countConnectFailure() {
        attempts--;
        connectFailures++;
    }

    /** Returns whether the request may be retried; a permitted retry is charged to the budget. */
    boolean allowRetry(RetryReason reason, BackendAttempt failed) {
        boolean safe = request.isSafe() && request.key().isEmpty();
        long nowNanos = System.nanoTime();
        if (attempts >= request.terms().attempts()
                || connectFailures >= CONNECT_FAILURE_LIMIT
                || !failed.isRetryable()
                || nowNanos - request.deadlineNanos() >= 0
                || !parts.mode().mayRetry(reason, safe)) {
            return false;
        }
        return reason == RetryReason.CONNECT_FAILED || parts.mode() != ProxyMode.FLEET || takeFromBudget(nowNanos);
    }

    private boolean takeFromBudget(long nowNanos) {
        int percent = parts.catalog()
                .serviceLimits(request.service())
                .map(limits -> limits.retryPercent())
                .getOrElse(0);
        int slack = parts.catalog().retrySlack(request.service());
        RetryUsage peers = parts.catalog().peerRetries(request.service());
        boolean taken = parts.catalog().retriesByUrgency()
                ? budget.tryAcquireByUrgency(
                        nowNanos, percent, slack, peers, request.terms().priority())
                : budget.tryAcquire(nowNanos, percent, slack, peers);
        if (!taken) {
            parts.meters().countRetryWithoutBudget();
        }
        return taken;
    }
}
