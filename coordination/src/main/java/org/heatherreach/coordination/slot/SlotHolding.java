package org.heatherreach.coordination.slot;

import java.util.Objects;

import org.heatherreach.state.id.ServerId;

/**
 * The slots of one server that a daemon has leased and that its requests occupy. More slots are in use than held while
 * requests still run on slots whose lease was recalled. Immutable and safe for use by any thread.
 *
 * @param server the server
 * @param held the number of leased slots
 * @param inUse the number of running requests
 */
public record SlotHolding(ServerId server, int held, int inUse) {
    /**
     * Creates a holding.
     *
     * @throws IllegalArgumentException if a count is negative
     */
    public SlotHolding {
        Objects.requireNonNull(server, "server");
        if (held < 0 || inUse < 0) {
            throw new IllegalArgumentException("held and inUse must not be negative");
        }
    }
}
