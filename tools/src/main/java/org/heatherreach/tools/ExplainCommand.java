package org.heatherreach.tools;

import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.heatherreach.tools.log.RequestExplanation;

/**
 * Shows the outcome of a request, why a server is in or out of use, or the meaning of a refusal reason. A request id
 * that a daemon issued starts with the incarnation of that daemon, so only this daemon is queried. For any other id,
 * all daemons are queried.
 */
@Parameters(
        commandDescription = "Explain the outcome of a request, why a server is in or out of use, or a refusal reason")
final class ExplainCommand extends ToolCommand {
    private static final int HTTP_OK = 200;

    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Parameter(description = "REQUEST-ID, SERVER-ID or REASON", required = true)
    private String id;

    @Parameter(
            names = "--logs",
            variableArity = true,
            description = "Log files, one for each daemon; they are read instead of querying the daemons")
    private List<String> logs = new ArrayList<>();

    @Override
    List<String> examples() {
        return List.of(
                "heatherreach explain f12f0a7072a67286-1b3 (from Heatherreach-Request-Id)",
                "heatherreach explain benchdesk-04 --format json",
                "heatherreach explain 9c41d07be2a35f68 --logs front-*.log");
    }

    @Override
    ExitCode run(ToolContext context) {
        return logs.isEmpty()
                ? daemons.withFleet(context, fleet -> explainFromDaemons(context, fleet))
                : explainFromLogs(context);
    }

    private ExitCode explainFromLogs(ToolContext context) {
        RequestExplanation explanation;
        try {
            explanation = new RequestExplanation(id, logs.stream().map(Path::of).toList());
        } catch (UncheckedIOException e) {
            throw new ToolException(ExitCode.USAGE, "cannot read a log file: " + e.getCause());
        }
        if (!explanation.isFound()) {
            throw new ToolException(
                    ExitCode.NOT_FOUND,
                    "no line of these log files has request=" + id
                            + "; a request that a caller repeats has another id, and log-lines-dropped counts omitted lines");
        }
        context.print(explanation.lines(), node -> {
            node.put("request", id)
                    .put(
                            "cause",
                            explanation.cause().name().toLowerCase(Locale.ROOT).replace('_', '-'));
            ToolContext.addAll(node.putArray("lines"), explanation.lines());
        });
        return ExitCode.DONE;
    }

    private ExitCode explainFromDaemons(ToolContext context, FleetClient fleet) {
        String path = "/heatherreach/explain/"
                + URLEncoder.encode(id, StandardCharsets.UTF_8).replace("+", "%20");
        List<DaemonStatus> statuses = fleet.collectReport().daemons();
        Option<DaemonStatus> issuer =
                Option.ofOptional(statuses.stream().filter(this::hasIssuedId).findFirst());
        if (issuer.isDefined()) {
            return printReplyOfIssuer(
                    context, issuer.get(), fleet.request("GET", issuer.get().address(), path));
        }
        List<String> lines = new ArrayList<>();
        List<JsonNode> explanations = new ArrayList<>();
        int unansweredCount = 0;
        for (DaemonStatus status : statuses) {
            Option<FleetClient.Reply> reply = fleet.request("GET", status.address(), path);
            if (reply.isEmpty()) {
                unansweredCount++;
            } else if (reply.get().status() == HTTP_OK) {
                lines.addAll(describe(status, reply.get()));
                explanations.add(reply.get().body());
            }
        }
        if (explanations.isEmpty()) {
            throw new ToolException(
                    unansweredCount > 0 ? ExitCode.UNAVAILABLE : ExitCode.NOT_FOUND,
                    "no daemon that answered has an explanation of " + id
                            + (unansweredCount > 0 ? "; " + unansweredCount + " do not answer" : "")
                            + "; a daemon keeps only its latest requests, and loses them when its process ends");
        }
        context.print(lines, node -> ToolContext.addAll(node.putArray("explanations"), explanations));
        return ExitCode.DONE;
    }

    /** Returns whether this incarnation of the daemon issued the id, so that no other daemon has to be queried. */
    private boolean hasIssuedId(DaemonStatus status) {
        return status.isReachable() && id.startsWith(status.incarnation() + "-");
    }

    private ExitCode printReplyOfIssuer(ToolContext context, DaemonStatus status, Option<FleetClient.Reply> reply) {
        String daemon = "daemon " + status.daemon() + " at " + status.address() + ", which took request " + id;
        if (reply.isEmpty()) {
            throw new ToolException(ExitCode.UNAVAILABLE, daemon + ", does not answer");
        }
        if (reply.get().status() != HTTP_OK) {
            throw new ToolException(
                    ExitCode.NOT_FOUND,
                    daemon + ", answers: " + reply.get().body().path("error").asText("no explanation"));
        }
        context.print(
                describe(status, reply.get()),
                node -> node.putArray("explanations").add(reply.get().body()));
        return ExitCode.DONE;
    }

    private static List<String> describe(DaemonStatus status, FleetClient.Reply reply) {
        List<String> lines = new ArrayList<>();
        lines.add("daemon " + status.daemon() + ":");
        JsonText.format(reply.body()).forEach(line -> lines.add("  " + line));
        return lines;
    }
}
