/**
 * At-most-once execution of requests that carry an execution key.
 *
 * <p>A key names the one daemon incarnation that may dispatch its request to a backend server, the executor, and two
 * witnesses. Before it dispatches, the executor announces the attempt to both witnesses in an intent, and one witness
 * has to acknowledge it. A witness that receives a query about a key without an intent bars the key: it never
 * acknowledges an intent for it again. After the server has answered, the executor sends an outcome copy to both
 * witnesses. If an attempt ends before the request runs, the executor withdraws the intent. Therefore:
 *
 * <ul>
 *   <li>a request runs at most once, because only the executor dispatches it, keeps one record of its key, and
 *       dispatches it again only after a dispatch that ended without running the request;
 *   <li>the executor returns "not run" if it has not dispatched, or if a server refused before running the request;
 *   <li>any daemon returns "not run" if the executor or both witnesses have barred the key.
 * </ul>
 *
 * <p>The outcome {@code unknown} is returned in exactly these cases:
 *
 * <ol>
 *   <li>The executor dispatched and has no complete answer: the server was lost or did not answer in time. The outcome
 *       of the key stays unknown, because a second dispatch could run the request twice.
 *   <li>The executor has stopped, or the daemon that answers can't reach it, after a witness recorded an intent and
 *       before an outcome copy arrived at a reachable witness. This includes the time between the intent and the
 *       dispatch, and a refusal after the intent whose withdrawal was lost.
 *   <li>The executor and at least one witness can't be reached, and the other witness holds no outcome copy.
 *   <li>A witness has reached its limit of records, so it can't bar the key. This witness counts as unreachable.
 *   <li>The key has expired, so its records may have been removed.
 *   <li>The request is still running and too many retries wait for it, or the daemon that answers is not the executor.
 *       A later retry returns the outcome.
 *   <li>The daemon that answers is not the executor and has reached its limit of concurrent look-ups.
 * </ol>
 *
 * <p>Clocks of different daemons are never compared. The executor checks the expiry by its own clock. A witness keeps a
 * record for longer than the lifetime of a key. For each issuer it keeps the largest sequence number of an intent or
 * outcome that it removed, so it never mistakes a removed intent for one that it never received.
 */
package org.heatherreach.coordination.atmostonce;
