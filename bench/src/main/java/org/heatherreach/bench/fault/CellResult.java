package org.heatherreach.bench.fault;

import java.util.List;
import java.util.Optional;

/**
 * What one cell of the matrix showed. Immutable and safe for use by any thread.
 *
 * @param fault the row
 * @param step the column
 * @param inapplicable why the fault can't occur at this step; empty if the cell ran
 * @param runs how often the product ran with the fault begun
 * @param failures the seed, the violations and the trace of each run that broke the promise
 * @param naiveRuns how often the naive version ran with the fault begun
 * @param naiveFailures how many of these runs broke the promise
 */
public record CellResult(
        Fault fault,
        Step step,
        Optional<String> inapplicable,
        int runs,
        List<String> failures,
        int naiveRuns,
        int naiveFailures) {
    /** Creates a result. */
    public CellResult {
        failures = List.copyOf(failures);
    }

    /** Returns whether the product broke the promise in a run, or the step was never reached. */
    public boolean isFailed() {
        return !failures.isEmpty() || isVoid();
    }

    /** Returns whether the cell ran and the product kept the promise in every run. */
    public boolean isPassed() {
        return runs > 0 && failures.isEmpty();
    }

    /** Returns whether the cell neither ran nor has a reason not to. */
    public boolean isVoid() {
        return inapplicable.isEmpty() && runs == 0;
    }
}
