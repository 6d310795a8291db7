/**
 * Execution of keyed requests at most once.
 *
 * <p>A key names the one daemon incarnation that may dispatch its request, the executor, and two witnesses. The executor
 * dispatches after one witness has acknowledged the intent. A witness that was asked about a key without an intent bars
 * it and never acknowledges an intent for it again. Therefore:
 *
 * <ul>
 *   <li>a request runs at most once, because only the executor dispatches it, and only from one state of one record;
 *   <li>"not run" is said by the executor when it has not dispatched, or when a server refused before running the
 *       request; and by any daemon when the executor has barred the key, or both witnesses have.
 * </ul>
 *
 * <p>The outcome {@code unknown} is given exactly in these cases:
 *
 * <ol>
 *   <li>The executor dispatched and has no complete answer: the server was lost or did not answer in time. The key stays
 *       unknown, because a second run could double the first.
 *   <li>The executor is gone, or can't be reached from the daemon that answers, after a witness recorded an intent and
 *       before an outcome copy reached a witness that can be reached. This includes the time between the intent and the
 *       dispatch, and a refusal after the intent whose withdrawal was lost.
 *   <li>The executor and at least one witness can't be reached, and the other witness holds no outcome copy.
 *   <li>A witness has no room for the record that would bar the key. It counts as unreachable.
 *   <li>The key has expired: the records may be gone.
 *   <li>The request is still running and too many retries wait for it, or the daemon that answers is not the executor.
 *       A later retry gives the outcome.
 * </ol>
 *
 * <p>No clocks are compared. The executor checks the expiry by its own clock. A witness keeps a record longer than a key
 * lives, and remembers per issuer the largest sequence number that it forgot, so it never takes a forgotten intent for
 * one that it never had.
 */
package org.heatherreach.coordination.once;
