package org.heatherreach.tools;

import java.util.List;

import com.beust.jcommander.Parameter;

/** A subcommand. Confined to the main thread. */
abstract class ToolCommand {
    @Parameter(names = "--format", description = "text or json")
    private Format format = Format.TEXT;

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show this help")
    private boolean help;

    final Format format() {
        return format;
    }

    final boolean isHelp() {
        return help;
    }

    /** Returns command lines that show the use of the command. */
    abstract List<String> examples();

    /** Runs the command; failures are {@link ToolException}. */
    abstract ExitCode run(ToolContext context);
}
