package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.outcome.RefusalReason;

/**
 * The response that a caller would get to a refused request. Immutable and safe for use by any thread.
 *
 * @param reason the reason
 * @param statusCode the HTTP status code
 * @param minRetryMillis the shortest time of the {@code Retry-After} header, which may be random
 * @param maxRetryMillis the longest time of that header; 0 if the response has none
 */
public record RefusalForecast(RefusalReason reason, int statusCode, long minRetryMillis, long maxRetryMillis) {
    /** Creates a forecast. */
    public RefusalForecast {
        Objects.requireNonNull(reason, "reason");
    }

    /**
     * Returns the response as it would be written.
     *
     * @param maxRetryMillis the longest time after which to retry; 0 if the refusal states none
     */
    public static RefusalForecast of(
            CallDialect dialect, RefusalReason reason, long minRetryMillis, long maxRetryMillis) {
        int statusCode = dialect.statusCode(reason, reason.outcome());
        if (!RefusalWriter.hasRetryAfter(statusCode, maxRetryMillis)) {
            return new RefusalForecast(reason, statusCode, 0, 0);
        }
        return maxRetryMillis > 0
                ? new RefusalForecast(reason, statusCode, minRetryMillis, maxRetryMillis)
                : new RefusalForecast(
                        reason,
                        statusCode,
                        RefusalWriter.DEFAULT_RETRY_MIN_MILLIS,
                        RefusalWriter.DEFAULT_RETRY_MAX_MILLIS);
    }
}
