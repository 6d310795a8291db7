package org.heatherreach.tools;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.heatherreach.state.table.TableCsv;
import org.heatherreach.transport.kv.TableSnapshot;

/** Writes a version of the table as CSV. */
@Parameters(commandDescription = "Write the table as a CSV file that a spreadsheet can open")
final class ExportCommand extends ToolCommand {
    @ParametersDelegate
    private final StoreOptions store = new StoreOptions();

    @Parameter(names = "--out", description = "The file to write; without it the CSV goes to standard output")
    private String file = "";

    @Parameter(names = "--version", description = "Export this version of the history instead of the newest one")
    private long version;

    @Override
    List<String> examples() {
        return List.of(
                "heatherreach export --out table.csv",
                "heatherreach export --version 4711 --out before.csv",
                "heatherreach export --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        TableSnapshot snapshot = Snapshots.read(store, context, version);
        if (file.isEmpty() && !context.isJson()) {
            context.printRaw(TableCsv.write(snapshot.table()));
            return ExitCode.DONE;
        }
        if (!file.isEmpty()) {
            TableFile.write(file, snapshot.table());
            TableFile.writeBase(file, snapshot.version(), snapshot.table());
        }
        context.print(
                List.of("version " + snapshot.version() + " written to " + file + " and " + file + ".base"), node -> {
                    node.put("version", snapshot.version());
                    if (file.isEmpty()) {
                        node.put("csv", TableCsv.write(snapshot.table()));
                    } else {
                        node.put("file", file);
                    }
                });
        return ExitCode.DONE;
    }
}
