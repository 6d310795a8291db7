package org.heatherreach.coordination.atmostonce;

/**
 * Announces to a witness that the executor is about to dispatch an attempt. Immutable and safe for use by any thread.
 *
 * @param attempt the attempt
 * @param fingerprint the hash of the request that is bound to the key
 */
public record Intent(KeyAttempt attempt, long fingerprint) {}
