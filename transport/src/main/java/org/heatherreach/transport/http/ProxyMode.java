package org.heatherreach.transport.http;

import java.util.Set;

import org.heatherreach.state.outcome.RetryReason;

/** How requests that failed at a server are repeated. Immutable and safe for use by any thread. */
public enum ProxyMode {
    /** Repeats only where the request did not run or may run twice, within the retry budget. */
    FLEET {
        @Override
        boolean mayRepeat(RetryReason reason, boolean safe) {
            return reason.allows(safe);
        }
    },
    /** The baseline of comparisons: repeats whatever failed, without a budget. */
    NAIVE {
        @Override
        boolean mayRepeat(RetryReason reason, boolean safe) {
            return true;
        }
    };

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Returns whether running a request of this method twice does no harm. */
    static boolean isSafe(String method) {
        return SAFE_METHODS.contains(method);
    }

    abstract boolean mayRepeat(RetryReason reason, boolean safe);
}
