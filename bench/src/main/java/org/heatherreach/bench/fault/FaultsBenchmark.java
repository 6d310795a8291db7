package org.heatherreach.bench.fault;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;

/** Runs the fault matrix and writes it as a Markdown page. Holds no state between runs. */
public final class FaultsBenchmark implements Benchmark {
    /** The file name of the page. */
    public static final String PAGE = "fault-matrix.md";

    @Override
    public String name() {
        return "faults";
    }

    @Override
    public String description() {
        return "Every fault at every step of a keyed request, a table change, a slot lease and an ejection, as a Markdown page";
    }

    @Override
    public void run(long seed, BenchReport report) {
        FaultMatrix matrix = new FaultMatrix(seed);
        Map<Promise, List<CellResult>> results = new LinkedHashMap<>();
        for (Promise promise : Promise.values()) {
            List<CellResult> cells = matrix.run(promise);
            results.put(promise, cells);
            String subject = promise.subject();
            long ran = cells.stream().filter(cell -> cell.runs() > 0).count();
            long broken = cells.stream().filter(CellResult::isFailed).count();
            long naive = cells.stream().filter(cell -> cell.naiveFailures() > 0).count();
            report.add("cells run", subject, "product", ran, "cells");
            report.add("cells broken", subject, "naive", naive, "cells");
            report.add("cells broken", subject, "product", broken, "cells");
        }
        Map<Promise, List<PairResult>> pairs = new LinkedHashMap<>();
        for (Promise promise : FaultMatrix.PAIR_PROMISES) {
            List<PairResult> ran = matrix.runPairs(promise);
            pairs.put(promise, ran);
            report.add(
                    "pairs broken",
                    promise.subject(),
                    "product",
                    ran.stream().filter(pair -> pair.failure().isPresent()).count(),
                    "pairs");
        }
        report.addPage(PAGE, new MatrixPage(seed, results, pairs).text());
    }
}
