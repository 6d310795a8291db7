package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.transport.kv.TableStoreError;
import org.heatherreach.transport.kv.TableVersion;

/** Shows which version of the table each daemon has in force. */
@Parameters(commandDescription = "Ask every daemon for its state and the table version that it has in force")
final class StatusCommand extends ToolCommand {
    @ParametersDelegate
    private final StoreOptions store = new StoreOptions();

    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Override
    List<String> examples() {
        return List.of(
                "heatherreach status --daemons 10.0.0.1:8080,10.0.0.2:8080 --store 10.0.0.9:2379",
                "heatherreach status --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        FleetReport report = daemons.use(context, FleetClient::report);
        String storeText = "not asked";
        Option<Long> accepted = Option.none();
        if (store.isGiven(context)) {
            Either<TableStoreError, Option<TableVersion>> head =
                    store.useWithErrors(context, tables -> tables.readHead());
            accepted = head.isRight()
                    ? Option.some(head.get().map(TableVersion::version).getOrElse(0L))
                    : Option.none();
            storeText = head.fold(
                    TableStoreError::reason,
                    found ->
                            found.map(version -> "version " + version.version()).getOrElse("no table"));
        }
        long newest = report.daemons().stream()
                .mapToLong(DaemonStatus::tableVersion)
                .max()
                .orElse(0);
        // During an outage of the store the newest version that any daemon has is the best known one.
        long target = Math.max(newest, accepted.getOrElse(0L));
        boolean everywhere = report.isInForceEverywhere(target);
        print(context, report, storeText, target, everywhere);
        if (report.daemons().stream().noneMatch(DaemonStatus::isReachable)) {
            return ExitCode.UNAVAILABLE;
        }
        return everywhere ? ExitCode.DONE : ExitCode.PENDING;
    }

    private static void print(
            ToolContext context, FleetReport report, String storeText, long target, boolean everywhere) {
        List<List<String>> cells = new ArrayList<>();
        cells.add(List.of("daemon", "address", "zone", "state", "version"));
        report.daemons()
                .forEach(daemon -> cells.add(List.of(
                        daemon.daemon(),
                        daemon.address(),
                        daemon.zone(),
                        daemon.state(),
                        daemon.isReachable() ? Long.toString(daemon.tableVersion()) : "?")));
        List<String> lines = new ArrayList<>(TextTable.format(cells));
        lines.add("store: " + storeText);
        lines.add(
                everywhere
                        ? "version " + target + " is in force everywhere"
                        : "version " + target + " is not in force everywhere:");
        if (!everywhere) {
            report.missing(target).forEach(line -> lines.add("  " + line));
        }
        context.print(lines, node -> {
            node.put("store", storeText).put("newestVersion", target).put("inForceEverywhere", everywhere);
            ToolContext.addAll(node.putArray("daemons"), report.daemons());
            ToolContext.addAll(node.putArray("missing"), report.missing(target));
        });
    }
}
