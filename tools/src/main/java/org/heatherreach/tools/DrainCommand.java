package org.heatherreach.tools;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Option;

/** Starts the graceful shutdown of a daemon and waits until it has stopped. */
@Parameters(
        commandDescription =
                "Shut a daemon down gracefully: it takes no new callers, finishes the requests in flight and stops")
final class DrainCommand extends ToolCommand {
    private static final String DRAIN_PATH = "/heatherreach/drain";
    private static final long POLL_INTERVAL_MILLIS = 500;

    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Parameter(description = "DAEMON", required = true)
    private String daemon;

    @Parameter(names = "--no-wait", description = "Return once the daemon has started its shutdown")
    private boolean noWait;

    @Parameter(
            names = "--wait-seconds",
            description = "The longest time to wait until the daemon has stopped, in seconds")
    private int waitSeconds = 60;

    @Override
    List<String> examples() {
        return List.of("heatherreach drain entry-3", "heatherreach drain entry-3 --no-wait --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        return daemons.withFleet(context, fleet -> drain(context, fleet));
    }

    private ExitCode drain(ToolContext context, FleetClient fleet) {
        DaemonStatus target = fleet.collectReport().daemons().stream()
                .filter(status -> daemon.equals(status.daemon()) || daemon.equals(status.address()))
                .findFirst()
                .orElseThrow(() -> new ToolException(ExitCode.NOT_FOUND, "no daemon is known as " + daemon));
        Option<FleetClient.Reply> reply = fleet.request("POST", target.address(), DRAIN_PATH);
        if (reply.isEmpty()) {
            throw new ToolException(ExitCode.UNAVAILABLE, daemon + " at " + target.address() + " does not answer");
        }
        if (reply.get().status() >= 300) {
            throw new ToolException(
                    ExitCode.UNAVAILABLE,
                    daemon + " rejected the drain request: HTTP status "
                            + reply.get().status());
        }
        boolean stopped = !noWait && awaitStop(context, fleet, target);
        context.print(
                List.of(daemon + (stopped ? " has stopped" : " is leaving")),
                node -> node.put("daemon", daemon).put("state", stopped ? "stopped" : "leaving"));
        return stopped || noWait ? ExitCode.DONE : ExitCode.PENDING;
    }

    private boolean awaitStop(ToolContext context, FleetClient fleet, DaemonStatus target) {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
        String lastState = "";
        while (System.nanoTime() - deadlineNanos < 0) {
            Option<FleetClient.Reply> reply = fleet.request("GET", target.address(), "/heatherreach/status");
            // Another incarnation at the same address means that the daemon has stopped and was restarted.
            if (reply.isEmpty()
                    ? fleet.isStopped(target.address())
                    : !target.incarnation()
                            .equals(reply.get().body().path("incarnation").asText())) {
                return true;
            }
            String state = reply.map(statusReply ->
                            statusReply.body().path("state").asText("unknown").toLowerCase(Locale.ROOT))
                    .getOrElse("does not answer");
            if (!state.equals(lastState)) {
                context.printProgress(target.daemon() + ": " + state);
                lastState = state;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }
}
