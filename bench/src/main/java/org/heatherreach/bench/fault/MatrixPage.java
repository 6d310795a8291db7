package org.heatherreach.bench.fault;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The matrix as Markdown. Immutable and safe for use by any thread. */
final class MatrixPage {
    private final long seed;
    private final Map<Promise, List<CellResult>> results;

    private final Map<Promise, List<PairResult>> pairs;

    MatrixPage(long seed, Map<Promise, List<CellResult>> results, Map<Promise, List<PairResult>> pairs) {
        this.seed = seed;
        this.results = results;
        this.pairs = pairs;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        text.append("\nSeed ").append(seed).append(". \"n/a\" means not applicable, for the reason below the table. ");
        text.append("\"naive 3\" means that\nthe naive version breaks the promise in three runs of the cell.\n");
        results.forEach((promise, cells) -> append(text, promise, cells));
        appendPairs(text);
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
        appendFailures(
                text, cells.stream().flatMap(cell -> cell.failures().stream()).toList());
    }

    private void appendPairs(StringBuilder text) {
        text.append("\n### Pairs of faults\n\n");
        text.append("Each pair of applicable faults runs once, each fault at a random step, with the product only. ");
        text.append("All checks of the\nworld apply; slots and floor have one world.\n\n");
        text.append("| promise | pairs | ran | failed |\n|---|---|---|---|\n");
        pairs.forEach((promise, ran) -> text.append("| ")
                .append(promise.subject())
                .append(promise == Promise.SLOTS ? " and " + Promise.FLOOR.subject() : "")
                .append(" | ")
                .append(ran.size())
                .append(" | ")
                .append(ran.stream().filter(PairResult::ran).count())
                .append(" | ")
                .append(ran.stream().filter(pair -> pair.failure().isPresent()).count())
                .append(" |\n"));
        appendFailures(
                text,
                pairs.values().stream()
                        .flatMap(List::stream)
                        .flatMap(pair -> pair.failure().stream())
                        .toList());
    }

    private static void appendFailures(StringBuilder text, List<String> failures) {
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
