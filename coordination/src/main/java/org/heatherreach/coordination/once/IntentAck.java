package org.heatherreach.coordination.once;

/**
 * Answers an intent. Immutable and safe for use by any thread.
 *
 * @param attempt the attempt of the intent
 * @param accepted whether the intent is recorded; false if the key is barred or there is no room
 */
public record IntentAck(KeyAttempt attempt, boolean accepted) {}
