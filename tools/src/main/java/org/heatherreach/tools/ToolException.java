package org.heatherreach.tools;

/** Ends a command with an error message and an exit code. */
final class ToolException extends RuntimeException {
    private final ExitCode exitCode;

    ToolException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
