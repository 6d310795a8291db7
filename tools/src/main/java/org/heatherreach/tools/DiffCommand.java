package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.heatherreach.state.table.CellChange;
import org.heatherreach.state.table.Table;
import org.heatherreach.state.table.TableDiff;

/** Compares a file with the table in the store, or two files, cell by cell. */
@Parameters(commandDescription = "Compare a file with the table in the store, or with another file, cell by cell")
final class DiffCommand extends ToolCommand {
    @ParametersDelegate
    private final StoreOptions store = new StoreOptions();

    @Parameter(description = "FILE [FILE]", required = true)
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--version", description = "Compare with this version of the history instead of the newest one")
    private long version;

    @Override
    List<String> examples() {
        return List.of(
                "heatherreach diff table.csv",
                "heatherreach diff before.csv after.csv",
                "heatherreach diff table.csv --version 4711 --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        if (files.size() > 2) {
            throw new ToolException(ExitCode.USAGE, "diff takes one or two files");
        }
        Table after = TableFile.readValid(files.get(files.size() - 1));
        Table before = files.size() == 2
                ? TableFile.readValid(files.get(0))
                : Snapshots.read(store, context, version).table();
        List<CellChange> changes = TableDiff.between(before, after);
        List<String> lines = new ArrayList<>();
        changes.forEach(change -> lines.add(change.toString()));
        lines.add(changes.isEmpty() ? "no differences" : changes.size() + " cells differ");
        context.print(lines, node -> ToolContext.addAll(node.putArray("changes"), changes));
        return changes.isEmpty() ? ExitCode.DONE : ExitCode.DIFFERENT;
    }
}
