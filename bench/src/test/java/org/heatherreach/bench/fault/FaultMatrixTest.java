package org.heatherreach.bench.fault;

import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class FaultMatrixTest {
    // Guards against a fault at some step that makes a request run twice, a table revert or a "not run" untrue; against
    // cells that are left out without a reason; and against checks that the naive version passes too.
    @Example
    void everyCellHoldsAndTheNaiveVersionBreaksSome() {
        FaultMatrix matrix = new FaultMatrix(FaultMatrix.SEED);
        for (Promise promise : Promise.values()) {
            List<CellResult> cells = matrix.run(promise);
            assertThat(cells).hasSize(Fault.values().length * promise.steps().size());
            assertThat(cells.stream().flatMap(cell -> cell.failures().stream())).isEmpty();
            assertThat(cells).noneMatch(CellResult::isVoid);
            // Elsewhere the naive version would fail in every cell, whatever the faults do.
            if (promise.isKeptWithoutFaultByNaive()) {
                assertThat(cells)
                        .filteredOn(cell -> cell.fault() == Fault.NONE)
                        .allMatch(cell -> cell.naiveFailures() == 0);
            }
            assertThat(cells).anyMatch(cell -> cell.naiveFailures() > 0);
        }
    }

    // Guards against faults that only two causes together bring out, and against pairs that are left out silently.
    @Example
    void everyPairOfFaultsHolds() {
        FaultMatrix matrix = new FaultMatrix(FaultMatrix.SEED);
        for (Promise promise : FaultMatrix.PAIR_PROMISES) {
            List<PairResult> pairs = matrix.runPairs(promise);
            assertThat(pairs).hasSizeGreaterThan(100).allMatch(PairResult::ran);
            assertThat(pairs.stream().flatMap(pair -> pair.failure().stream())).isEmpty();
        }
    }
}
