package org.heatherreach.protocol.kv;

/**
 * A lease of the key-value service. Immutable and safe for use by any thread.
 *
 * @param id the id of the lease
 * @param ttlSeconds the time until the lease expires unless it is renewed; 0 if it has expired
 */
public record Lease(long id, long ttlSeconds) {}
