package org.heatherreach.standins;

/**
 * The faults of a link that its admin endpoint switches. "Forward" is the direction from the connecting to the accepting
 * side. Immutable and safe for use by any thread.
 *
 * @param cutForward whether no byte passes forward; bytes wait as they do behind lost packets
 * @param cutBackward whether no byte passes backward
 * @param delayForwardMillis the delay that is added forward
 * @param delayBackwardMillis the delay that is added backward
 * @param refuse whether new connections are reset at once
 * @param backwardBytesPerSecond how many bytes all connections together pass backward each second; 0 for no limit
 */
public record LinkFaults(
        boolean cutForward,
        boolean cutBackward,
        int delayForwardMillis,
        int delayBackwardMillis,
        boolean refuse,
        int backwardBytesPerSecond) {
    /** No fault. */
    public static final LinkFaults NONE = new LinkFaults(false, false, 0, 0, false);

    /** Creates faults of a link that passes bytes at any rate. */
    public LinkFaults(
            boolean cutForward, boolean cutBackward, int delayForwardMillis, int delayBackwardMillis, boolean refuse) {
        this(cutForward, cutBackward, delayForwardMillis, delayBackwardMillis, refuse, 0);
    }

    /** Returns these faults with another rate backward. */
    public LinkFaults withBackwardRate(int bytesPerSecond) {
        return new LinkFaults(cutForward, cutBackward, delayForwardMillis, delayBackwardMillis, refuse, bytesPerSecond);
    }

    /** Returns a link without faults but with a limited rate backward. */
    public static LinkFaults slowBackward(int bytesPerSecond) {
        return new LinkFaults(false, false, 0, 0, false, bytesPerSecond);
    }
}
