package org.heatherreach.daemon.site;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * Selects the peers that get a report: all of them, or in a large fleet a limited number in turn.
 *
 * <p>Invariant: of peers that stay the same, each is selected once before any is selected again.
 *
 * <p>Safe for use by any thread.
 */
final class PeerRotation {
    private final AtomicInteger next;

    /**
     * Creates a rotation.
     *
     * @param random draws the first position, so that the daemons of a fleet do not all begin with the same peers
     */
    PeerRotation(RandomGenerator random) {
        this.next = new AtomicInteger(random.nextInt(Integer.MAX_VALUE));
    }

    /** Returns at most so many of the peers, beginning after those that the previous call returned. */
    <P> List<P> select(List<P> peers, int limit) {
        if (peers.size() <= limit) {
            return peers;
        }
        int first = next.getAndUpdate(index -> (index % peers.size() + limit) % peers.size());
        List<P> selected = new ArrayList<>(limit);
        for (int i = 0; i < limit; i++) {
            selected.add(peers.get((first % peers.size() + i) % peers.size()));
        }
        return selected;
    }
}
