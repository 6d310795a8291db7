package org.heatherreach.bench;

/**
 * One measured value. Immutable and safe for use by any thread.
 *
 * @param benchmark the name of the benchmark
 * @param metric what was measured
 * @param subject the site, service or size that it was measured for
 * @param variant {@code baseline} or {@code product}, or another named variant
 * @param value the value
 * @param unit the unit of the value
 */
public record BenchRow(String benchmark, String metric, String subject, String variant, double value, String unit) {}
