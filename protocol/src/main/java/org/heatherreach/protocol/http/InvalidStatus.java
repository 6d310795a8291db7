package org.heatherreach.protocol.http;

import java.util.Locale;

/** Why a status line is none of a response, so that nothing in the message counts. Safe for use by any thread. */
public enum InvalidStatus {
    /** The line does not begin with the version 1.0 or 1.1 of HTTP. */
    VERSION,
    /** The status does not consist of three ASCII digits, or is not from 100 to 599. */
    STATUS,
    /** An interim status other than 100, which no request of a daemon allows. */
    INTERIM,
    /** The server switches to another protocol, which no request of a daemon asks for. */
    UPGRADE;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the metric tag. */
    public String label() {
        return label;
    }
}
