package org.heatherreach.state.table;

import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * The limits of one service, from its row of the table. Immutable and safe for use by any thread.
 * Invariants: percentages lie in 0 to 100, slots and connections are at least 1.
 *
 * @param service the service
 * @param floorPercent the share of the live servers that ejections must leave in use
 * @param slots the number of requests that one server runs at a time
 * @param connections the number of connections that one server accepts
 * @param retryPercent the retry budget as a share of the requests of the last 10 s
 */
public record ServiceLimits(ServiceId service, int floorPercent, int slots, int connections, int retryPercent) {
    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public ServiceLimits {
        Objects.requireNonNull(service, "service");
        if (floorPercent < 0 || floorPercent > 100 || retryPercent < 0 || retryPercent > 100) {
            throw new IllegalArgumentException("percentages must lie in 0 to 100");
        }
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("slots and connections must be at least 1");
        }
    }

    /** Returns how many of the given number of live servers must stay in use, rounded up. */
    public int floorOf(int liveServers) {
        return (liveServers * floorPercent + 99) / 100;
    }
}
