package org.heatherreach.transport.http;

import io.vavr.control.Option;

/** Reads the value of a {@code Retry-After} header that is given in seconds. Stateless. */
public final class RetryAfter {
    /** A server that asks for more is mistaken; its registration shows sooner whether it is still there. */
    private static final double MAX_SECONDS = 3600;

    private static final double MILLIS_PER_SECOND = 1000;

    private RetryAfter() {}

    /**
     * Returns the time in milliseconds, rounded up and limited to an hour. Fractions of a second are accepted; a date,
     * a negative number or any other text has no result.
     */
    public static Option<Long> parseMillis(String value) {
        if (value == null) {
            return Option.none();
        }
        try {
            double seconds = Double.parseDouble(value.strip());
            return seconds >= 0
                    ? Option.some((long) Math.ceil(Math.min(seconds, MAX_SECONDS) * MILLIS_PER_SECOND))
                    : Option.none();
        } catch (NumberFormatException e) {
            return Option.none();
        }
    }
}
