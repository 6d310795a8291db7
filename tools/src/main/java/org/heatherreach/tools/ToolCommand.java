package org.heatherreach.tools;

import java.util.List;

import com.beust.jcommander.Parameter;

/** A subcommand of the tool, with the options that all subcommands have. Confined to the main thread. */
abstract class ToolCommand {
    @Parameter(names = "--format", description = "The output format: text or json")
    private Format format = Format.TEXT;

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show this help")
    private boolean help;

    final Format format() {
        return format;
    }

    final boolean isHelpRequested() {
        return help;
    }

    /** Returns example command lines for the help of the command. */
    abstract List<String> examples();

    /**
     * Runs the command.
     *
     * @throws ToolException if the command fails
     */
    abstract ExitCode run(ToolContext context);
}
