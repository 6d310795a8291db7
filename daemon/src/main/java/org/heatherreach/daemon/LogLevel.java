package org.heatherreach.daemon;

import java.util.logging.Level;

/** The least severe level that is logged. Immutable and safe for use by any thread. */
public enum LogLevel {
    /** Faults only. */
    ERROR(org.jboss.logmanager.Level.ERROR),
    /** Faults and conditions that need attention. */
    WARN(org.jboss.logmanager.Level.WARN),
    /** Changes of state as well. */
    INFO(org.jboss.logmanager.Level.INFO),
    /** Details for finding faults. */
    DEBUG(org.jboss.logmanager.Level.DEBUG);

    private final Level level;

    LogLevel(Level level) {
        this.level = level;
    }

    /** Returns the level of the log manager. */
    public Level level() {
        return level;
    }
}
