package org.heatherreach.tools;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;

/**
 * The operators' command-line tool: parses the arguments and runs the command. It returns the exit code instead of
 * ending the process, so that tests can run it. Confined to one thread.
 */
final class Tool {
    private final PrintStream output;
    private final PrintStream errors;
    private final Map<String, String> environment;

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show this help")
    private boolean help;

    Tool(PrintStream output, PrintStream errors, Map<String, String> environment) {
        this.output = output;
        this.errors = errors;
        this.environment = environment;
    }

    /** Runs a command line and returns its exit code. */
    int run(String... args) {
        Map<String, ToolCommand> commands = new LinkedHashMap<>();
        commands.put("export", new ExportCommand());
        commands.put("check", new CheckCommand());
        commands.put("diff", new DiffCommand());
        commands.put("apply", new ApplyCommand());
        commands.put("history", new HistoryCommand());
        commands.put("status", new StatusCommand());
        commands.put("servers", new ServersCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("explain-route", new ExplainRouteCommand());
        commands.put("drain", new DrainCommand());
        JCommander commander = JCommander.newBuilder()
                .addObject(this)
                .programName("heatherreach")
                .build();
        commands.forEach(commander::addCommand);
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            errors.println("heatherreach: " + e.getMessage() + "; see heatherreach --help");
            return ExitCode.USAGE.code();
        }
        String name = commander.getParsedCommand();
        if (help || name == null) {
            formatOverview(commands).forEach((help ? output : errors)::println);
            return help ? ExitCode.DONE.code() : ExitCode.USAGE.code();
        }
        ToolCommand command = commands.get(name);
        if (command.isHelpRequested()) {
            printUsage(commander, name, command);
            return ExitCode.DONE.code();
        }
        ToolContext context = new ToolContext(output, errors, environment, command.format());
        try {
            return command.run(context).code();
        } catch (ToolException e) {
            context.printFailure(e);
            return e.exitCode().code();
        }
    }

    private static List<String> formatOverview(Map<String, ToolCommand> commands) {
        List<String> lines = new ArrayList<>();
        lines.add("Usage: heatherreach COMMAND [options]; heatherreach COMMAND --help shows the options and examples");
        lines.add("");
        commands.forEach((name, command) -> lines.add(String.format(
                "  %-13s  %s",
                name, command.getClass().getAnnotation(Parameters.class).commandDescription())));
        lines.add("");
        lines.add("Addresses are given by options or by environment variables:");
        lines.add("  HEATHERREACH_STORE    addresses of the key-value service, HOST:PORT[,HOST:PORT...]");
        lines.add("  HEATHERREACH_DAEMONS  addresses of some daemons, HOST:PORT[,HOST:PORT...]; these list the others");
        lines.add(
                "  HEATHERREACH_VMS      address of the list of VMs, HOST:PORT; without it, VMs unknown to the daemons are not counted");
        lines.add("");
        lines.add("Exit codes:");
        for (ExitCode code : ExitCode.values()) {
            lines.add(String.format("  %d  %s", code.code(), code.meaning()));
        }
        return lines;
    }

    private void printUsage(JCommander commander, String name, ToolCommand command) {
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(name, text, "");
        output.println(text);
        output.println("Examples:");
        command.examples().forEach(example -> output.println("  " + example));
    }
}
