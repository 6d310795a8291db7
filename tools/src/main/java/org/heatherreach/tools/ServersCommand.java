package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;

/** Shows the state of the backend servers as each daemon sees it. */
@Parameters(commandDescription = "Show the state of the backend servers as each daemon sees it")
final class ServersCommand extends ToolCommand {
    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Parameter(names = "--daemon", description = "Query only the daemon with this id")
    private String daemon = "";

    @Override
    List<String> examples() {
        return List.of("heatherreach servers", "heatherreach servers --daemon entry-3 --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        return daemons.withFleet(context, fleet -> showServers(context, fleet));
    }

    private ExitCode showServers(ToolContext context, FleetClient fleet) {
        List<DaemonStatus> selected = fleet.collectReport().daemons().stream()
                .filter(status -> daemon.isEmpty() || daemon.equals(status.daemon()))
                .toList();
        if (selected.isEmpty()) {
            throw new ToolException(ExitCode.NOT_FOUND, "no daemon is known as \"" + daemon + "\"");
        }
        List<String> lines = new ArrayList<>();
        List<JsonNode> serverLists = new ArrayList<>();
        for (DaemonStatus status : selected) {
            Option<FleetClient.Reply> reply = fleet.request("GET", status.address(), "/heatherreach/servers")
                    .filter(found -> found.status() == 200);
            lines.add("daemon " + status.daemon() + " at " + status.address()
                    + (reply.isEmpty() ? " did not return its servers" : ":"));
            reply.forEach(found -> {
                JsonText.format(found.body()).forEach(line -> lines.add("  " + line));
                serverLists.add(found.body());
            });
        }
        context.print(lines, node -> ToolContext.addAll(node.putArray("daemons"), serverLists));
        return serverLists.isEmpty() ? ExitCode.UNAVAILABLE : ExitCode.DONE;
    }
}
