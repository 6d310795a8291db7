package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.state.table.MergeReport;
import org.heatherreach.state.table.Table;
import org.heatherreach.state.table.TableDiff;
import org.heatherreach.state.table.TableProblem;
import org.heatherreach.transport.kv.TableSnapshot;

/**
 * Reports that a change was rejected because the table has changed since the base version, on which the change builds.
 * The operator's file stays unchanged. The accepted table is saved next to it, and so is the merged table if the
 * changes do not conflict and the result breaks no rule. Confined to the main thread.
 */
final class SupersededChangeReport {
    private final ToolContext context;
    private final String file;
    private final Table mine;
    private final long baseVersion;
    private final Option<Table> base;
    private final Option<TableSnapshot> current;

    SupersededChangeReport(
            ToolContext context,
            String file,
            Table mine,
            long baseVersion,
            Option<Table> base,
            Option<TableSnapshot> current) {
        this.context = context;
        this.file = file;
        this.mine = mine;
        this.baseVersion = baseVersion;
        this.base = base;
        this.current = current;
    }

    ExitCode report() {
        if (current.isEmpty()) {
            throw new ToolException(
                    ExitCode.LOST_RACE,
                    "the store holds no table, so no change to version " + baseVersion + " can be applied");
        }
        TableSnapshot theirs = current.get();
        String theirFile = file + ".theirs.csv";
        TableFile.write(theirFile, theirs.table());
        TableFile.writeBase(theirFile, theirs.version(), theirs.table());
        List<String> lines = new ArrayList<>();
        lines.add("Another change was accepted first: version " + theirs.version() + " by "
                + theirs.head().author()
                + (theirs.head().comment().isEmpty() ? "" : " (" + theirs.head().comment() + ")")
                + ". Yours was not applied.");
        if (base.isEmpty()) {
            lines.add("Version " + baseVersion
                    + " is no longer available to compare with. Differences from their table to yours:");
            lines.addAll(ApplyCommand.formatChanges(TableDiff.between(theirs.table(), mine)));
            lines.add("Their table is saved in " + theirFile + "; yours stays in " + file + ".");
            context.print(lines, node -> {
                node.put("accepted", false)
                        .put("currentVersion", theirs.version())
                        .put("theirsFile", theirFile);
                ToolContext.addAll(node.putArray("theirsToMine"), TableDiff.between(theirs.table(), mine));
            });
            return ExitCode.LOST_RACE;
        }
        MergeReport report = TableDiff.merge(base.get(), mine, theirs.table());
        Either<List<TableProblem>, Table> merged = Table.of(report.merged());
        boolean mergeable = report.conflicts().isEmpty() && merged.isRight();
        String mergedFile = file + ".merged.csv";
        lines.add("Your changes since version " + baseVersion + ":");
        lines.addAll(ApplyCommand.formatChanges(report.mine()));
        lines.add("Their changes since version " + baseVersion + ":");
        lines.addAll(ApplyCommand.formatChanges(report.theirs()));
        if (!report.conflicts().isEmpty()) {
            lines.add("Cells that both changed differently:");
            report.conflicts().forEach(conflict -> lines.add("  " + conflict));
        }
        lines.add("Their table is saved in " + theirFile + "; yours stays in " + file + ".");
        if (mergeable) {
            TableFile.write(mergedFile, merged.get());
            TableFile.writeBase(mergedFile, theirs.version(), theirs.table());
            lines.add("The table with both changes is saved in " + mergedFile + ". To apply it: heatherreach apply "
                    + mergedFile);
        } else {
            if (merged.isLeft()) {
                lines.add("The table with both changes breaks rules:");
                merged.getLeft().forEach(problem -> lines.add("  " + problem));
            }
            lines.add("To continue, edit " + theirFile + " and apply it.");
        }
        context.print(lines, node -> {
            node.put("accepted", false).put("currentVersion", theirs.version()).put("theirsFile", theirFile);
            ToolContext.addAll(node.putArray("mine"), report.mine());
            ToolContext.addAll(node.putArray("theirs"), report.theirs());
            ToolContext.addAll(node.putArray("conflicts"), report.conflicts());
            if (mergeable) {
                node.put("mergedFile", mergedFile);
            }
        });
        return ExitCode.LOST_RACE;
    }
}
