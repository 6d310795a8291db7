package org.heatherreach.daemon;

/** The form of log lines. Immutable and safe for use by any thread. */
public enum LogFormat {
    /** One JSON object a line. */
    JSON,
    /** Text for reading. */
    HUMAN
}
