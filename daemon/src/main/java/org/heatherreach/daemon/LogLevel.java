package org.heatherreach.daemon;

import java.util.logging.Level;

/** The least severe level that is logged. Immutable and safe for use by any thread. */
public enum LogLevel {
    /** Errors only. */
    ERROR(org.jboss.logmanager.Level.ERROR),
    /** Errors and conditions that need attention. */
    WARN(org.jboss.logmanager.Level.WARN),
    /** Also changes of state. */
    INFO(org.jboss.logmanager.Level.INFO),
    /** Also details for debugging. */
    DEBUG(org.jboss.logmanager.Level.DEBUG);

    private final Level level;

    LogLevel(Level level) {
        this.level = level;
    }

    /** Returns the corresponding level of the log manager. */
    public Level level() {
        return level;
    }
}
