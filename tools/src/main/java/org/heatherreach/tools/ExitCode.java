package org.heatherreach.tools;

/** The exit codes of the tool, on which scripts rely. */
enum ExitCode {
    /** Done. */
    DONE(0, "done"),
    /** The table breaks rules, or diff found differences. */
    DIFFERENT(1, "the table breaks rules, or diff found differences"),
    /** Wrong arguments or unreadable files. */
    USAGE(2, "wrong arguments or unreadable files"),
    /** The store or the daemons do not answer; nothing was changed. */
    UNAVAILABLE(3, "the store or the daemons do not answer; nothing was changed"),
    /** Another change was accepted first; this one was not applied. */
    LOST_RACE(4, "another change was accepted first; yours was not applied"),
    /** Whether the change was accepted is not known. */
    UNDETERMINED(5, "whether the change was accepted is not known"),
    /** The newest table is accepted but not in force everywhere, or a daemon has not drained yet. */
    PENDING(6, "accepted, but not in force everywhere or not drained yet"),
    /** The named thing does not exist. */
    NOT_FOUND(7, "no such version, daemon, request or server");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    int code() {
        return code;
    }

    String meaning() {
        return meaning;
    }
}
