package org.heatherreach.coordination.balance;

/**
 * The load of a server and the suspicion against it when it was selected for a request. Immutable and safe for use by
 * any thread.
 *
 * @param inFlight the requests in flight at the server, from this daemon and from the peers that reported theirs
 * @param slots the number of requests that the server runs at a time
 * @param suspicion the weight of the server's failures in the last seconds; a single error that has just occurred
 *     weighs 1
 */
public record ChoiceBasis(int inFlight, int slots, double suspicion) {}
