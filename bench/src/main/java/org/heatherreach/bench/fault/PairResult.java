package org.heatherreach.bench.fault;

import java.util.Optional;

/**
 * What one pair of faults showed. Immutable and safe for use by any thread.
 *
 * @param first the fault that was planned first
 * @param second the other fault
 * @param ran whether both faults began, or the promise was broken before
 * @param failure the steps, the seed, the violations and the trace if the promise was broken
 */
public record PairResult(Fault first, Fault second, boolean ran, Optional<String> failure) {}
