package org.heatherreach.tools;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.state.table.CellChange;
import org.heatherreach.state.table.Table;
import org.heatherreach.state.table.TableProblem;
import org.heatherreach.transport.kv.ApplyResult;
import org.heatherreach.transport.kv.TableChange;
import org.heatherreach.transport.kv.TableSnapshot;
import org.heatherreach.transport.kv.TableStoreError;

/** Applies a CSV file and waits until every known daemon has reported the new version. */
@Parameters(commandDescription = "Apply a CSV file and wait until it is in force everywhere")
final class ApplyCommand extends ToolCommand {
    @ParametersDelegate
    private final StoreOptions store = new StoreOptions();

    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(names = "--base", description = "The version from which the file was edited; 0 if there is no table yet")
    private Long base;

    @Parameter(names = "--comment", description = "The reason for the change, for the history")
    private String comment = "";

    @Parameter(names = "--author", description = "The author of the change, for the history")
    private String author = System.getProperty("user.name", "unknown");

    @Parameter(
            names = "--change-id",
            description = "The id of an earlier apply with exit code 5, to find out whether that change was accepted")
    private String changeId = "";

    @Parameter(names = "--no-wait", description = "Return once the change is accepted")
    private boolean noWait;

    @Parameter(
            names = "--wait-seconds",
            description = "The longest time to wait until the change is in force everywhere, in seconds")
    private int waitSeconds = 30;

    @Override
    List<String> examples() {
        return List.of(
                "heatherreach apply table.csv --comment \"market day: more bulk\"",
                "heatherreach apply first.csv --base 0",
                "heatherreach apply table.csv --change-id 0f3c... (after exit code 5)");
    }

    @Override
    ExitCode run(ToolContext context) {
        Either<List<TableProblem>, Table> parsed = TableFile.read(file);
        if (parsed.isLeft()) {
            CheckCommand.report(context, file, parsed.getLeft());
            return ExitCode.DIFFERENT;
        }
        Table table = parsed.get();
        Option<TableFile.Base> exportedBase = base == null ? TableFile.readBase(file) : Option.none();
        long baseVersion = base != null
                ? base
                : exportedBase
                        .map(TableFile.Base::version)
                        .getOrElseThrow(
                                () -> new ToolException(
                                        ExitCode.USAGE,
                                        "the version from which " + file + " was edited is not known: there is no "
                                                + file
                                                + ".base from heatherreach export; give the version with --base (0 if there is no table yet)"));
        String id = changeId.isEmpty() ? UUID.randomUUID().toString() : changeId;
        TableChange change = new TableChange(id, author, comment, baseVersion, System.currentTimeMillis(), table);
        context.printProgress("applying " + file + " as change " + id + " to version " + baseVersion);
        Either<TableStoreError, ApplyResult> result = store.tryWithStore(context, tables -> tables.apply(change));
        if (result.isLeft()) {
            ToolException failure = StoreOptions.toException(result.getLeft());
            if (failure.exitCode() == ExitCode.UNDETERMINED) {
                throw new ToolException(
                        ExitCode.UNDETERMINED,
                        failure.getMessage() + "\nTo find out whether it was accepted: heatherreach apply " + file
                                + " --base " + baseVersion + " --change-id " + id);
            }
            throw failure;
        }
        if (result.get() instanceof ApplyResult.Accepted accepted) {
            return reportAccepted(context, accepted.version(), table, id);
        }
        ApplyResult.Superseded superseded = (ApplyResult.Superseded) result.get();
        Option<Table> baseTable =
                exportedBase.flatMap(TableFile.Base::table).orElse(() -> readBaseTable(context, baseVersion));
        return new SupersededChangeReport(context, file, table, baseVersion, baseTable, superseded.current()).report();
    }

    private ExitCode reportAccepted(ToolContext context, long version, Table table, String id) {
        TableFile.writeBase(file, version, table);
        // Unreferenced chunks only take up space, so a failure to remove them is ignored.
        store.tryWithStore(context, tables -> tables.collectGarbage());
        if (noWait) {
            context.print(
                    List.of("version " + version + " accepted"),
                    node -> node.put("version", version).put("changeId", id).put("accepted", true));
            return ExitCode.DONE;
        }
        context.printProgress("version " + version + " accepted");
        Option<FleetReport> report = daemons.withFleetIfGiven(
                context,
                fleet -> new RolloutMonitor(fleet, context)
                        .await(
                                version,
                                System.nanoTime()
                                        + Duration.ofSeconds(waitSeconds).toNanos()));
        if (report.isEmpty()) {
            context.print(
                    List.of("version " + version
                            + " accepted; whether it is in force was not checked, since no daemon is"
                            + " given by --daemons or HEATHERREACH_DAEMONS"),
                    node -> node.put("version", version)
                            .put("changeId", id)
                            .put("accepted", true)
                            .putNull("inForceEverywhere"));
            return ExitCode.PENDING;
        }
        boolean inForceEverywhere = report.get().isInForceEverywhere(version);
        List<String> lines = new ArrayList<>();
        lines.add(
                inForceEverywhere
                        ? "version " + version + " is in force everywhere: all "
                                + report.get().daemons().size() + " known daemons reported it"
                        : "version " + version + " is accepted but not yet in force everywhere:");
        if (!inForceEverywhere) {
            report.get().pendingReasons(version).forEach(line -> lines.add("  " + line));
        }
        context.print(lines, node -> {
            node.put("version", version).put("changeId", id).put("accepted", true);
            node.put("inForceEverywhere", inForceEverywhere);
            ToolContext.addAll(node.putArray("missing"), report.get().pendingReasons(version));
        });
        return inForceEverywhere ? ExitCode.DONE : ExitCode.PENDING;
    }

    private Option<Table> readBaseTable(ToolContext context, long baseVersion) {
        try {
            return baseVersion == 0
                    ? Option.none()
                    : Option.some(Snapshots.read(store, context, baseVersion)).map(TableSnapshot::table);
        } catch (ToolException e) {
            // Without the base table the report only compares the two tables.
            return Option.none();
        }
    }

    static List<String> formatChanges(List<CellChange> changes) {
        return changes.isEmpty()
                ? List.of("  none")
                : changes.stream().map(change -> "  " + change).toList();
    }
}
