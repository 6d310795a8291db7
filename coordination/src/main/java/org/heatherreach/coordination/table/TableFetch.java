package org.heatherreach.coordination.table;

/**
 * Reports the version that the sender holds. A receiver with a larger version answers with a {@link TableAnswer}.
 * Immutable and safe for use by any thread.
 *
 * @param knownVersion the version; zero if the sender holds none
 */
public record TableFetch(long knownVersion) {}
