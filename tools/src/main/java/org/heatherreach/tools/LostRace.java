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
 * Reports that another change was accepted first. The operator's file stays as it is; the accepted table and, if the
 * changes do not conflict, both changes together are saved next to it. Confined to the main thread.
 */
final class LostRace {
    private final ToolContext context;
    private final String file;
    private final Table mine;
    private final long baseVersion;
    private final Option<Table> base;
    private final Option<TableSnapshot> current;

    LostRace(
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
                    ExitCode.LOST_RACE, "the store holds no table, so version " + baseVersion + " can't be changed");
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
            lines.add("Version " + baseVersion + " can't be read any more. From theirs to yours:");
            lines.addAll(ApplyCommand.describe(TableDiff.between(theirs.table(), mine)));
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
        boolean clean = report.conflicts().isEmpty() && merged.isRight();
        String mergedFile = file + ".merged.csv";
        lines.add("Your changes since version " + baseVersion + ":");
        lines.addAll(ApplyCommand.describe(report.mine()));
        lines.add("Their changes since version " + baseVersion + ":");
        lines.addAll(ApplyCommand.describe(report.theirs()));
        if (!report.conflicts().isEmpty()) {
            lines.add("Changed by both, differently:");
            report.conflicts().forEach(conflict -> lines.add("  " + conflict));
        }
        lines.add("Their table is saved in " + theirFile + "; yours stays in " + file + ".");
        if (clean) {
            TableFile.write(mergedFile, merged.get());
            TableFile.writeBase(mergedFile, theirs.version(), theirs.table());
            lines.add("Both changes together are saved in " + mergedFile + ". To apply them: heatherreach apply "
                    + mergedFile);
        } else {
            if (merged.isLeft()) {
                lines.add("Together the changes break rules:");
                merged.getLeft().forEach(problem -> lines.add("  " + problem));
            }
            lines.add("To continue, edit " + theirFile + " and apply it.");
        }
        context.print(lines, node -> {
            node.put("accepted", false).put("currentVersion", theirs.version()).put("theirsFile", theirFile);
            ToolContext.addAll(node.putArray("mine"), report.mine());
            ToolContext.addAll(node.putArray("theirs"), report.theirs());
            ToolContext.addAll(node.putArray("conflicts"), report.conflicts());
            if (clean) {
                node.put("mergedFile", mergedFile);
            }
        });
        return ExitCode.LOST_RACE;
    }
}
