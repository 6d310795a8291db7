package org.heatherreach.coordination.slot;

import java.util.Objects;

import org.heatherreach.state.id.ServerId;

/**
 * The absolute number of slots of one server that are leased to a daemon. Immutable and safe for use by any thread.
 *
 * @param server the server
 * @param count the number of slots; zero ends the lease
 */
public record SlotLease(ServerId server, int count) {
    /**
     * Creates a lease.
     *
     * @throws IllegalArgumentException if the count is negative
     */
    public SlotLease {
        Objects.requireNonNull(server, "server");
        if (count < 0) {
            throw new IllegalArgumentException("count must not be negative");
        }
    }
}
