package org.heatherreach.tools;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;

import com.beust.jcommander.Parameter;
import io.vavr.control.Option;

/** The options of commands that ask daemons. */
final class DaemonOptions {
    @Parameter(names = "--daemons", description = "Some daemons, HOST:PORT[,HOST:PORT...]; they name the others")
    private String daemons = "";

    @Parameter(names = "--vms", description = "The list of VMs, HOST:PORT")
    private String vms = "";

    /** Runs the function with the fleet; a missing address ends the command. */
    <T> T use(ToolContext context, Function<FleetClient, T> function) {
        return useOptional(context, function)
                .getOrElseThrow(() ->
                        new ToolException(ExitCode.USAGE, "state some daemons by --daemons or HEATHERREACH_DAEMONS"));
    }

    /** Runs the function with the fleet; empty if no address is given. */
    <T> Option<T> useOptional(ToolContext context, Function<FleetClient, T> function) {
        String seedText = daemons.isEmpty() ? context.environment("HEATHERREACH_DAEMONS") : daemons;
        String vmText = vms.isEmpty() ? context.environment("HEATHERREACH_VMS") : vms;
        List<InetSocketAddress> seeds = Addresses.read("--daemons", seedText);
        Option<InetSocketAddress> list =
                vmText.isEmpty() ? Option.none() : Option.some(Addresses.readOne("--vms", vmText));
        if (seeds.isEmpty()) {
            return Option.none();
        }
        try (FleetClient client = new FleetClient(seeds, list)) {
            return Option.some(function.apply(client));
        }
    }
}
