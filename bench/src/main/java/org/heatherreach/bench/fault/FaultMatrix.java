package org.heatherreach.bench.fault;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Runs the cells of the matrix. The same seed gives the same results. Immutable and safe for use by any thread.
 */
public final class FaultMatrix {
    /** The seed of the test and of the page. */
    public static final long SEED = 1;

    private final long seed;

    /** Creates a matrix whose runs draw from a seed. */
    public FaultMatrix(long seed) {
        this.seed = seed;
    }

    /** Runs every fault at every step of a promise, in the order of rows, then columns. */
    public List<CellResult> run(Promise promise) {
        // Each cell has worlds of its own, so the number of threads changes no result.
        return Arrays.stream(Fault.values())
                .flatMap(fault -> promise.steps().stream().map(step -> new Cell(fault, step)))
                .toList()
                .parallelStream()
                .map(cell -> run(cell.fault, cell.step))
                .toList();
    }

    private CellResult run(Fault fault, Step step) {
        Promise promise = step.promise();
        Optional<String> reason = promise.reasonAgainst(fault);
        int[] runs = new int[2];
        int[] broken = new int[2];
        List<String> failures = new ArrayList<>();
        for (int i = 0; reason.isEmpty() && i < promise.seeds(); i++) {
            long runSeed = seed + 1_000L * (100L * fault.ordinal() + step.ordinal()) + i;
            for (int version = 0; version < 2; version++) {
                FaultWorld world = promise.create(version == 1, runSeed);
                world.plan(fault, step);
                world.run();
                boolean failed = !world.violations.isEmpty();
                runs[version] += world.allBegun() ? 1 : 0;
                broken[version] += failed ? 1 : 0;
                if (failed && version == 0) {
                    failures.add(describe(fault + " at " + step, runSeed, world));
                }
            }
        }
        return new CellResult(fault, step, reason, runs[0], failures, runs[1], broken[1]);
    }

    private static String describe(String cell, long runSeed, FaultWorld world) {
        return cell + ", seed " + runSeed + ": " + world.violations + "\n  " + String.join("\n  ", world.trace);
    }

    private record Cell(Fault fault, Step step) {}
}
