package org.heatherreach.transport.http;

import java.util.Locale;

/** How a request ended on the caller's side. Immutable and safe for use by any thread. */
public enum RequestEnding {
    /** The answer was written completely. */
    ANSWERED,
    /** The caller's connection was reset, because its answer could not be completed. */
    RESET,
    /** The caller disconnected before its answer was complete. */
    CALLER_LEFT;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the form for operators. */
    public String label() {
        return label;
    }
}
