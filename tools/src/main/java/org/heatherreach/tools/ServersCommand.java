package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;

/** Shows how daemons see the backend servers. */
@Parameters(commandDescription = "Show how each daemon sees the backend servers")
final class ServersCommand extends ToolCommand {
    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Parameter(names = "--daemon", description = "Ask only the daemon with this id")
    private String daemon = "";

    @Override
    List<String> examples() {
        return List.of("heatherreach servers", "heatherreach servers --daemon entry-3 --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        return daemons.use(context, fleet -> show(context, fleet));
    }

    private ExitCode show(ToolContext context, FleetClient fleet) {
        List<DaemonStatus> asked = fleet.report().daemons().stream()
                .filter(status -> daemon.isEmpty() || daemon.equals(status.daemon()))
                .toList();
        if (asked.isEmpty()) {
            throw new ToolException(ExitCode.NOT_FOUND, "no daemon is known as \"" + daemon + "\"");
        }
        List<String> lines = new ArrayList<>();
        List<JsonNode> views = new ArrayList<>();
        for (DaemonStatus status : asked) {
            Option<FleetClient.Reply> reply =
                    fleet.ask("GET", status.address(), "/heatherreach/servers").filter(found -> found.status() == 200);
            lines.add("daemon " + status.daemon() + " at " + status.address()
                    + (reply.isEmpty() ? " does not answer" : ":"));
            reply.forEach(found -> {
                JsonText.format(found.body()).forEach(line -> lines.add("  " + line));
                views.add(found.body());
            });
        }
        context.print(lines, node -> ToolContext.addAll(node.putArray("daemons"), views));
        return views.isEmpty() ? ExitCode.UNAVAILABLE : ExitCode.DONE;
    }
}
