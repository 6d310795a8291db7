package org.heatherreach.transport.http;

import java.util.Locale;

/** How a request ended on the caller's side. Immutable and safe for use by any thread. */
public enum RequestEnding {
    /** The response was written completely. */
    ANSWERED,
    /** The caller's connection was reset because the response could not be completed. */
    RESET,
    /** The caller disconnected before the response was complete. */
    CALLER_LEFT;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the label that is shown to operators. */
    public String label() {
        return label;
    }
}
