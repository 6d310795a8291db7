package org.heatherreach.tools;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;

/** Shows where a daemon of a site would send a request now, and why. The request is not sent. */
@Parameters(commandDescription = "Explain where a request would go now, without sending it")
final class ExplainRouteCommand extends ToolCommand {
    private static final int HTTP_OK = 200;
    private static final int HTTP_BAD_REQUEST = 400;

    @Parameter(names = "--daemon", description = "Address of the daemon's metrics endpoint, HOST:PORT", required = true)
    private String daemon;

    @Parameter(names = "--host", description = "The host that the request names", required = true)
    private String host;

    @Parameter(names = "--path", description = "The path of the request", required = true)
    private String path;

    @Parameter(names = "--method", description = "The HTTP method")
    private String method = "GET";

    @Parameter(names = "--workspace", description = "The name of the caller's workspace, never an API key")
    private String workspace = "";

    @Parameter(names = "--body-bytes", description = "The length of the body")
    private long bodyBytes;

    @Override
    List<String> examples() {
        return List.of(
                "heatherreach explain-route --daemon 10.0.0.1:9090 --host api.example --path /read/1",
                "heatherreach explain-route --daemon 10.0.0.1:9090 --host api.example --path /buy/ --method POST"
                        + " --workspace acme --body-bytes 2000 --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        InetSocketAddress address = AddressParser.parse("--daemon", daemon);
        try (FleetClient client = new FleetClient(List.of(address), Option.none())) {
            return print(context, client.request("GET", daemon, target()));
        }
    }

    private ExitCode print(ToolContext context, Option<FleetClient.Reply> reply) {
        if (reply.isEmpty()) {
            throw new ToolException(ExitCode.UNAVAILABLE, "the daemon at " + daemon + " does not answer");
        }
        int status = reply.get().status();
        String error = reply.get().body().path("error").asText("no explanation");
        if (status == HTTP_BAD_REQUEST) {
            throw new ToolException(ExitCode.USAGE, error);
        }
        // A daemon without this endpoint answers every path of the address with its counters.
        if (status != HTTP_OK || !reply.get().body().has("tableVersion")) {
            throw new ToolException(ExitCode.UNAVAILABLE, "the daemon at " + daemon + " answers: " + error);
        }
        context.print(
                JsonText.format(reply.get().body()),
                node -> node.setAll((ObjectNode) reply.get().body()));
        return ExitCode.DONE;
    }

    private String target() {
        return "/heatherreach/explain-route?host=" + encoded(host) + "&path=" + encoded(path) + "&method="
                + encoded(method) + "&workspace=" + encoded(workspace) + "&body-bytes=" + bodyBytes;
    }

    private static String encoded(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
