package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.transport.kv.TableStoreError;
import org.heatherreach.transport.kv.TableVersion;

/** Shows the state of each daemon and the table version that it has in force. */
@Parameters(commandDescription = "Show the state of each daemon and the table version that it has in force")
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
        FleetReport report = daemons.withFleet(context, FleetClient::collectReport);
        String storeText = "not asked";
        Option<Long> acceptedVersion = Option.none();
        if (store.isGiven(context)) {
            Either<TableStoreError, Option<TableVersion>> head =
                    store.tryWithStore(context, tables -> tables.readHead());
            acceptedVersion = head.isRight()
                    ? Option.some(head.get().map(TableVersion::version).getOrElse(0L))
                    : Option.none();
            storeText = head.fold(
                    TableStoreError::reason,
                    found ->
                            found.map(version -> "version " + version.version()).getOrElse("no table"));
        }
        long newestReported = report.daemons().stream()
                .mapToLong(DaemonStatus::tableVersion)
                .max()
                .orElse(0);
        // During an outage of the store, the newest version that any daemon has in force is taken as the newest one.
        long newestVersion = Math.max(newestReported, acceptedVersion.getOrElse(0L));
        boolean inForceEverywhere = report.isInForceEverywhere(newestVersion);
        print(context, report, storeText, newestVersion, inForceEverywhere);
        if (report.daemons().stream().noneMatch(DaemonStatus::isReachable)) {
            return ExitCode.UNAVAILABLE;
        }
        return inForceEverywhere ? ExitCode.DONE : ExitCode.PENDING;
    }

    private static void print(
            ToolContext context, FleetReport report, String storeText, long newestVersion, boolean inForceEverywhere) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("daemon", "address", "zone", "state", "version"));
        report.daemons()
                .forEach(daemon -> rows.add(List.of(
                        daemon.daemon(),
                        daemon.address(),
                        daemon.zone(),
                        daemon.state(),
                        daemon.isReachable() ? Long.toString(daemon.tableVersion()) : "?")));
        List<String> lines = new ArrayList<>(TextTable.format(rows));
        lines.add("store: " + storeText);
        lines.add(
                inForceEverywhere
                        ? "version " + newestVersion + " is in force everywhere"
                        : "version " + newestVersion + " is not in force everywhere:");
        if (!inForceEverywhere) {
            report.pendingReasons(newestVersion).forEach(line -> lines.add("  " + line));
        }
        context.print(lines, node -> {
            node.put("store", storeText)
                    .put("newestVersion", newestVersion)
                    .put("inForceEverywhere", inForceEverywhere);
            ToolContext.addAll(node.putArray("daemons"), report.daemons());
            ToolContext.addAll(node.putArray("missing"), report.pendingReasons(newestVersion));
        });
    }
}
