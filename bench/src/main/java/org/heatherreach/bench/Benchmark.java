package org.heatherreach.bench;

/**
 * One measurement that always runs a baseline and the product with the same seed.
 * Implementations hold no state between runs; {@link #run} is called by one thread.
 */
public interface Benchmark {
    /** Returns the name used on the command line and in results. */
    String name();

    /** Returns one sentence that says what is measured. */
    String description();

    /**
     * Measures and adds rows to the report.
     *
     * @throws BenchException if the measurement could not be carried out
     */
    void run(long seed, BenchReport report) throws BenchException;
}
