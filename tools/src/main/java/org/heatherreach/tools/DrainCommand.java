package org.heatherreach.tools;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Option;

/** Starts the graceful shutdown of a daemon. */
@Parameters(commandDescription = "Make a daemon leave: no new callers, requests in flight finish, then it stops")
final class DrainCommand extends ToolCommand {
    private static final String PATH = "/heatherreach/drain";
    private static final long POLL_MILLIS = 500;

    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Parameter(description = "DAEMON", required = true)
    private String daemon;

    @Parameter(names = "--no-wait", description = "Return once the daemon has begun to leave")
    private boolean noWait;

    @Parameter(names = "--wait-seconds", description = "How long to wait until the daemon has stopped")
    private int waitSeconds = 60;

    @Override
    List<String> examples() {
        return List.of("heatherreach drain entry-3", "heatherreach drain entry-3 --no-wait --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        return daemons.use(context, fleet -> drain(context, fleet));
    }

    private ExitCode drain(ToolContext context, FleetClient fleet) {
        DaemonStatus target = fleet.report().daemons().stream()
                .filter(status -> daemon.equals(status.daemon()) || daemon.equals(status.address()))
                .findFirst()
                .orElseThrow(() -> new ToolException(ExitCode.NOT_FOUND, "no daemon is known as " + daemon));
        Option<FleetClient.Reply> reply = fleet.ask("POST", target.address(), PATH);
        if (reply.isEmpty()) {
            throw new ToolException(ExitCode.UNAVAILABLE, daemon + " at " + target.address() + " does not answer");
        }
        if (reply.get().status() >= 300) {
            throw new ToolException(
                    ExitCode.UNAVAILABLE,
                    daemon + " refuses to leave: status " + reply.get().status());
        }
        boolean stopped = !noWait && awaitStop(context, fleet, target);
        context.print(
                List.of(daemon + (stopped ? " has stopped" : " is leaving")),
                node -> node.put("daemon", daemon).put("state", stopped ? "stopped" : "leaving"));
        return stopped || noWait ? ExitCode.DONE : ExitCode.PENDING;
    }

    private boolean awaitStop(ToolContext context, FleetClient fleet, DaemonStatus target) {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(waitSeconds).toNanos();
        String shown = "";
        while (System.nanoTime() - deadlineNanos < 0) {
            Option<FleetClient.Reply> reply = fleet.ask("GET", target.address(), "/heatherreach/status");
            // A new incarnation at the same address is a restarted daemon.
            if (reply.isEmpty()
                    ? fleet.isStopped(target.address())
                    : !target.incarnation()
                            .equals(reply.get().body().path("incarnation").asText())) {
                return true;
            }
            String state = reply.map(found ->
                            found.body().path("state").asText("unknown").toLowerCase(Locale.ROOT))
                    .getOrElse("does not answer");
            if (!state.equals(shown)) {
                context.progress(target.daemon() + ": " + state);
                shown = state;
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }
}
