package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.heatherreach.state.table.TableProblem;

/** Validates a CSV file without applying it. */
@Parameters(commandDescription = "Check a CSV file and list each cell that breaks a rule")
final class CheckCommand extends ToolCommand {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    List<String> examples() {
        return List.of("heatherreach check table.csv", "heatherreach check table.csv --format json");
    }

    @Override
    ExitCode run(ToolContext context) {
        List<TableProblem> problems = TableFile.read(file).fold(problemsFound -> problemsFound, table -> List.of());
        report(context, file, problems);
        return problems.isEmpty() ? ExitCode.DONE : ExitCode.DIFFERENT;
    }

    static void report(ToolContext context, String file, List<TableProblem> problems) {
        List<String> lines = new ArrayList<>();
        problems.forEach(problem -> lines.add(problem.toString()));
        lines.add(problems.isEmpty() ? file + " is valid" : file + " breaks " + problems.size() + " rules");
        context.print(
                lines,
                node -> ToolContext.addAll(node.put("valid", problems.isEmpty()).putArray("problems"), problems));
    }
}
