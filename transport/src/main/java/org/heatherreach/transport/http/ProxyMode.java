package org.heatherreach.transport.http;

import java.util.Set;

import org.heatherreach.state.outcome.RetryReason;

/** How requests that failed at a server are retried. Immutable and safe for use by any thread. */
public enum ProxyMode {
    /** Retries only if the request did not run or may run twice, within the retry budget. */
    FLEET {
        @Override
        boolean mayRetry(RetryReason reason, boolean safe) {
            return reason.allows(safe);
        }
    },
    /** Retries every failed request, without a budget; the baseline of comparisons. */
    NAIVE {
        @Override
        boolean mayRetry(RetryReason reason, boolean safe) {
            return true;
        }
    };

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Returns whether a request with this method can run twice without harm. */
    static boolean isSafe(String method) {
        return SAFE_METHODS.contains(method);
    }

    abstract boolean mayRetry(RetryReason reason, boolean safe);
}
