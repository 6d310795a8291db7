package org.heatherreach.tools;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;

import com.beust.jcommander.Parameter;
import io.vavr.control.Option;

/** The options of commands that send requests to daemons. */
final class DaemonOptions {
    @Parameter(
            names = "--daemons",
            description = "Addresses of some daemons, HOST:PORT[,HOST:PORT...]; these list the others")
    private String daemons = "";

    @Parameter(names = "--vms", description = "Address of the list of VMs, HOST:PORT")
    private String vms = "";

    /** Runs the function with a client that is closed afterwards; fails if no daemon address is given. */
    <T> T withFleet(ToolContext context, Function<FleetClient, T> function) {
        return withFleetIfGiven(context, function)
                .getOrElseThrow(() -> new ToolException(
                        ExitCode.USAGE,
                        "give the address of at least one daemon with --daemons or HEATHERREACH_DAEMONS"));
    }

    /** Runs the function with a client that is closed afterwards; empty if no daemon address is given. */
    <T> Option<T> withFleetIfGiven(ToolContext context, Function<FleetClient, T> function) {
        String seedText = daemons.isEmpty() ? context.environment("HEATHERREACH_DAEMONS") : daemons;
        String vmListText = vms.isEmpty() ? context.environment("HEATHERREACH_VMS") : vms;
        List<InetSocketAddress> seeds = AddressParser.parseList("--daemons", seedText);
        Option<InetSocketAddress> vmListAddress =
                vmListText.isEmpty() ? Option.none() : Option.some(AddressParser.parse("--vms", vmListText));
        if (seeds.isEmpty()) {
            return Option.none();
        }
        try (FleetClient client = new FleetClient(seeds, vmListAddress)) {
            return Option.some(function.apply(client));
        }
    }
}
