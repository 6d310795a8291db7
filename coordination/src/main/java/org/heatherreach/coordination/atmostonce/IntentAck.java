package org.heatherreach.coordination.atmostonce;

/**
 * The reply of a witness to an intent. Immutable and safe for use by any thread.
 *
 * @param attempt the attempt of the intent
 * @param accepted whether the intent is recorded; false if the key is barred or has a recorded answer, if the attempt
 *     is outdated or withdrawn, if the limit of records is reached, or if the receiver is no witness of the key
 */
public record IntentAck(KeyAttempt attempt, boolean accepted) {}
