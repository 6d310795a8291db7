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

/** Applies a file and waits until the change is in force everywhere. */
@Parameters(commandDescription = "Apply a CSV file and wait until it is in force everywhere")
final class ApplyCommand extends ToolCommand {
    @ParametersDelegate
    private final StoreOptions store = new StoreOptions();

    @ParametersDelegate
    private final DaemonOptions daemons = new DaemonOptions();

    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(names = "--base", description = "The version that the file was edited from; 0 for the first table")
    private Long base;

    @Parameter(names = "--comment", description = "Why, for the history")
    private String comment = "";

    @Parameter(names = "--author", description = "Who, for the history")
    private String author = System.getProperty("user.name", "unknown");

    @Parameter(names = "--change-id", description = "The id of an apply whose result is not known, to find it out")
    private String changeId = "";

    @Parameter(names = "--no-wait", description = "Return once the change is accepted")
    private boolean noWait;

    @Parameter(names = "--wait-seconds", description = "How long to wait until the change is in force everywhere")
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
        Either<List<TableProblem>, Table> read = TableFile.read(file);
        if (read.isLeft()) {
            CheckCommand.report(context, file, read.getLeft());
            return ExitCode.DIFFERENT;
        }
        Table table = read.get();
        Option<TableFile.Base> baseFile = base == null ? TableFile.readBase(file) : Option.none();
        long baseVersion = base != null
                ? base
                : baseFile.map(TableFile.Base::version)
                        .getOrElseThrow(
                                () -> new ToolException(
                                        ExitCode.USAGE,
                                        "which version was " + file + " edited from? There is no " + file
                                                + ".base from heatherreach export; state the version by --base (0 for the first table)"));
        String id = changeId.isEmpty() ? UUID.randomUUID().toString() : changeId;
        TableChange change = new TableChange(id, author, comment, baseVersion, System.currentTimeMillis(), table);
        context.progress("applying " + file + " as change " + id + " to version " + baseVersion);
        Either<TableStoreError, ApplyResult> result = store.useWithErrors(context, tables -> tables.apply(change));
        if (result.isLeft()) {
            ToolException failure = StoreOptions.failure(result.getLeft());
            if (failure.exitCode() == ExitCode.UNDETERMINED) {
                throw new ToolException(
                        ExitCode.UNDETERMINED,
                        failure.getMessage() + "\nTo find out: heatherreach apply " + file + " --base " + baseVersion
                                + " --change-id " + id);
            }
            throw failure;
        }
        if (result.get() instanceof ApplyResult.Accepted accepted) {
            return finish(context, accepted.version(), table, id);
        }
        ApplyResult.Superseded superseded = (ApplyResult.Superseded) result.get();
        Option<Table> baseTable =
                baseFile.flatMap(TableFile.Base::table).orElse(() -> readBaseTable(context, baseVersion));
        return new LostRace(context, file, table, baseVersion, baseTable, superseded.current()).report();
    }

    private ExitCode finish(ToolContext context, long version, Table table, String id) {
        TableFile.writeBase(file, version, table);
        // Leftover chunks only cost space, so a failure to remove them does not matter.
        store.useWithErrors(context, tables -> tables.collectGarbage());
        if (noWait) {
            context.print(
                    List.of("version " + version + " accepted"),
                    node -> node.put("version", version).put("changeId", id).put("accepted", true));
            return ExitCode.DONE;
        }
        context.progress("version " + version + " accepted");
        Option<FleetReport> report = daemons.useOptional(
                context,
                fleet -> new RolloutWait(fleet, context)
                        .await(
                                version,
                                System.nanoTime()
                                        + Duration.ofSeconds(waitSeconds).toNanos()));
        if (report.isEmpty()) {
            context.print(
                    List.of("version " + version + " accepted; not checked whether it is in force, since no daemon is"
                            + " given by --daemons or HEATHERREACH_DAEMONS"),
                    node -> node.put("version", version)
                            .put("changeId", id)
                            .put("accepted", true)
                            .putNull("inForceEverywhere"));
            return ExitCode.PENDING;
        }
        boolean everywhere = report.get().isInForceEverywhere(version);
        List<String> lines = new ArrayList<>();
        lines.add(
                everywhere
                        ? "version " + version + " is in force everywhere: all "
                                + report.get().daemons().size() + " known daemons reported it"
                        : "version " + version + " is accepted but not yet in force everywhere:");
        if (!everywhere) {
            report.get().missing(version).forEach(line -> lines.add("  " + line));
        }
        context.print(lines, node -> {
            node.put("version", version).put("changeId", id).put("accepted", true);
            node.put("inForceEverywhere", everywhere);
            ToolContext.addAll(node.putArray("missing"), report.get().missing(version));
        });
        return everywhere ? ExitCode.DONE : ExitCode.PENDING;
    }

    private Option<Table> readBaseTable(ToolContext context, long baseVersion) {
        try {
            return baseVersion == 0
                    ? Option.none()
                    : Option.some(Snapshots.read(store, context, baseVersion)).map(TableSnapshot::table);
        } catch (ToolException e) {
            // Without the base the report shows the two tables only.
            return Option.none();
        }
    }

    static List<String> describe(List<CellChange> changes) {
        return changes.isEmpty()
                ? List.of("  none")
                : changes.stream().map(change -> "  " + change).toList();
    }
}
