package org.heatherreach.bench.fault;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The matrix as Markdown. Immutable and safe for use by any thread. */
final class MatrixPage {
    private final long seed;
    private final Map<Promise, List<CellResult>> results;

    MatrixPage(long seed, Map<Promise, List<CellResult>> results) {
        this.seed = seed;
        this.results = results;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        text.append("\nSeed ").append(seed).append(". \"n/a\" means not applicable, for the reason below the table. ");
        text.append("\"naive 3\" means that\nthe naive version breaks the promise in three runs of the cell.\n");
        results.forEach((promise, cells) -> append(text, promise, cells));
        return text.append('\n').toString();
    }

    private static void append(StringBuilder text, Promise promise, List<CellResult> cells) {
        text.append("\n### ").append(promise.label()).append("\n\n");
        text.append(promise.seeds()).append(" runs of each cell. Naive version: ");
        text.append(promise.naiveLabel()).append(". ");
        long passed = cells.stream().filter(CellResult::isPassed).count();
        long failed = cells.stream().filter(CellResult::isFailed).count();
        text.append(passed).append(" cells passed, ").append(failed).append(" failed, ");
        text.append(cells.size() - passed - failed).append(" are not applicable; the naive version breaks ");
        text.append(cells.stream().filter(cell -> cell.naiveFailures() > 0).count())
                .append(".\n\n");
        text.append("| fault |");
        promise.steps().forEach(step -> text.append(' ').append(step.label()).append(" |"));
        text.append("\n|---|").append("---|".repeat(promise.steps().size())).append('\n');
        Map<String, List<String>> reasons = new LinkedHashMap<>();
        for (Fault fault : Fault.values()) {
            text.append("| ").append(fault.label()).append(" |");
            cells.stream()
                    .filter(cell -> cell.fault() == fault)
                    .forEach(cell -> text.append(' ').append(describe(cell)).append(" |"));
            text.append('\n');
            promise.reasonAgainst(fault)
                    .ifPresent(reason -> reasons.computeIfAbsent(reason, key -> new ArrayList<>())
                            .add(fault.label()));
        }
        text.append("\nNot applicable:\n\n");
        reasons.forEach((reason, faults) -> text.append("- ")
                .append(String.join(", ", faults))
                .append(": ")
                .append(reason)
                .append(".\n"));
        List<String> failures =
                cells.stream().flatMap(cell -> cell.failures().stream()).toList();
        if (!failures.isEmpty()) {
            text.append("\nFailed runs:\n\n```\n")
                    .append(String.join("\n", failures))
                    .append("\n```\n");
        }
    }

    private static String describe(CellResult cell) {
        if (cell.inapplicable().isPresent()) {
            return "n/a";
        }
        if (cell.runs() == 0) {
            return "not reached";
        }
        String state = cell.isFailed() ? "**failed** " + cell.failures().size() : "passed";
        return cell.naiveFailures() == 0 ? state : state + ", naive " + cell.naiveFailures();
    }
}
