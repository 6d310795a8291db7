package org.heatherreach.tools;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.heatherreach.protocol.kv.TableHead;
import org.heatherreach.transport.kv.TableVersion;

/** Lists the latest versions of the table, the newest first. */
@Parameters(commandDescription = "List the latest versions of the table, the newest first")
final class HistoryCommand extends ToolCommand {
    @ParametersDelegate
    private final StoreOptions store = new StoreOptions();

    @Parameter(names = "--limit", description = "The largest number of versions to list")
    private int limit = 20;

    @Override
    List<String> examples() {
        return List.of("heatherreach history", "heatherreach history --limit 3 --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        List<TableVersion> versions = store.withStore(context, tables -> tables.history()).stream()
                .limit(limit)
                .toList();
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("version", "applied", "author", "change", "comment"));
        for (TableVersion version : versions) {
            TableHead head = version.head();
            rows.add(List.of(
                    Long.toString(version.version()),
                    Instant.ofEpochMilli(head.appliedEpochMillis()).toString(),
                    head.author(),
                    head.changeId(),
                    head.comment()));
        }
        context.print(TextTable.format(rows), node -> {
            ArrayNode array = node.putArray("versions");
            versions.forEach(version -> array.addObject()
                    .put("version", version.version())
                    .put("baseVersion", version.head().baseVersion())
                    .put("appliedEpochMillis", version.head().appliedEpochMillis())
                    .put("author", version.head().author())
                    .put("changeId", version.head().changeId())
                    .put("comment", version.head().comment()));
        });
        return ExitCode.DONE;
    }
}
