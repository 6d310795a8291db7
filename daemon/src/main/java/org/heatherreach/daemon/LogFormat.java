package org.heatherreach.daemon;

/** The format of log lines. Immutable and safe for use by any thread. */
public enum LogFormat {
    /** One JSON object per line. */
    JSON,
    /** Plain text for humans. */
    HUMAN
}
