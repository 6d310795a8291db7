package org.heatherreach.tools;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;

/** Shows why a request was answered as it was, or why a server is in or out of use. */
@Parameters(commandDescription = "Explain what became of a request, or why a server is in or out of use")
final class ExplainCommand extends ToolCommand {
    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Parameter(description = "REQUEST-ID or SERVER-ID", required = true)
    private String id;

    @Override
    List<String> examples() {
        return List.of(
                "heatherreach explain r-7f3a-000012 (from Heatherreach-Request-Id)",
                "heatherreach explain benchdesk-04 --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        return daemons.use(context, fleet -> show(context, fleet));
    }

    private ExitCode show(ToolContext context, FleetClient fleet) {
        String path = "/heatherreach/explain/"
                + URLEncoder.encode(id, StandardCharsets.UTF_8).replace("+", "%20");
        List<String> lines = new ArrayList<>();
        List<JsonNode> found = new ArrayList<>();
        int silent = 0;
        for (DaemonStatus status : fleet.report().daemons()) {
            Option<FleetClient.Reply> reply = fleet.ask("GET", status.address(), path);
            if (reply.isEmpty()) {
                silent++;
            } else if (reply.get().status() == 200) {
                lines.add("daemon " + status.daemon() + ":");
                JsonText.format(reply.get().body()).forEach(line -> lines.add("  " + line));
                found.add(reply.get().body());
            }
        }
        if (found.isEmpty()) {
            throw new ToolException(
                    silent > 0 ? ExitCode.UNAVAILABLE : ExitCode.NOT_FOUND,
                    "no daemon that answers knows " + id + (silent > 0 ? "; " + silent + " do not answer" : ""));
        }
        context.print(lines, node -> ToolContext.addAll(node.putArray("explanations"), found));
        return ExitCode.DONE;
    }
}
