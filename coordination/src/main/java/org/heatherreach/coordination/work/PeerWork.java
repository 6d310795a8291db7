package org.heatherreach.coordination.work;

/**
 * The work that peers reported to have left at a server. Immutable and safe for use by any thread.
 *
 * @param requests the number of requests of the peers that reported their work
 * @param leftNanos the time that the server is expected to need for them
 */
public record PeerWork(int requests, double leftNanos) {
    /** No reported work. */
    public static final PeerWork NONE = new PeerWork(0, 0);

    /** Returns the sum of two reports. */
    public PeerWork plus(PeerWork other) {
        return new PeerWork(requests + other.requests, leftNanos + other.leftNanos);
    }
}
