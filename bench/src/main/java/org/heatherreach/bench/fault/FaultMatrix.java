package org.heatherreach.bench.fault;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Runs the cells of the matrix. The same seed gives the same results. Immutable and safe for use by any thread.
 */
public final class FaultMatrix {
    /** The seed of the test and of the page. */
    public static final long SEED = 1;

    /** The promises whose pairs of faults run; the world of slots checks the floor too. */
    static final List<Promise> PAIR_PROMISES = List.of(Promise.AT_MOST_ONCE, Promise.TABLE, Promise.SLOTS);

    private static final int PAIR_DRAWS = 5;

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

    /**
     * Runs all pairs of different faults that are applicable to a promise, each fault at a random step. If the first
     * fault keeps the step of the second from being reached, other steps are drawn a few times.
     */
    public List<PairResult> runPairs(Promise promise) {
        List<Fault> faults = Arrays.stream(Fault.values())
                .filter(fault ->
                        fault != Fault.NONE && promise.reasonAgainst(fault).isEmpty())
                .toList();
        List<Pair> pairs = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            for (int j = i + 1; j < faults.size(); j++) {
                pairs.add(new Pair(faults.get(i), faults.get(j)));
            }
        }
        return pairs.parallelStream().map(pair -> run(promise, pair)).toList();
    }

    private PairResult run(Promise promise, Pair pair) {
        List<Step> steps = promise.pairSteps();
        for (int draw = 0; draw < PAIR_DRAWS; draw++) {
            long runSeed = seed + 1_000_000L + 1_000L * (100L * pair.first.ordinal() + pair.second.ordinal()) + draw;
            Random random = new Random(runSeed);
            Step firstStep = steps.get(random.nextInt(steps.size()));
            Step secondStep = steps.get(random.nextInt(steps.size()));
            FaultWorld world = promise.create(false, runSeed);
            world.plan(pair.first, firstStep);
            world.plan(pair.second, secondStep);
            world.run();
            boolean failed = !world.violations.isEmpty();
            if (failed || world.allBegun()) {
                String name = pair.first + " at " + firstStep + ", " + pair.second + " at " + secondStep;
                return new PairResult(
                        pair.first,
                        pair.second,
                        true,
                        failed ? Optional.of(describe(name, runSeed, world)) : Optional.empty());
            }
        }
        return new PairResult(pair.first, pair.second, false, Optional.empty());
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

    private record Pair(Fault first, Fault second) {}

    private record Cell(Fault fault, Step step) {}
}
