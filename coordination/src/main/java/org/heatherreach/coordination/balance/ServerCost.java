package org.heatherreach.coordination.balance;

import java.util.Objects;

import org.heatherreach.state.id.ServerId;

/**
 * What a server would cost for a request, by the parts of the cost, in shares of a full server. Immutable and safe for
 * use by any thread.
 *
 * @param server the server
 * @param usable whether the server has room and the request may be sent to it at present
 * @param load the load and, if loads are measured by the expected work, the slowness
 * @param ownSlot negative if the server has a free slot of this daemon's share
 * @param zone the cost of another availability zone
 * @param cold the cost of a server that is not yet at full speed
 * @param answer the cost of a server that has not answered lately; negative for a request that may test it
 * @param leaving the cost of a server that is about to stop according to a peer
 * @param suspicion the cost of recent failures; negative for a request that may test the server
 * @param tried the cost of a server that failed this request before
 */
public record ServerCost(
        ServerId server,
        boolean usable,
        double load,
        double ownSlot,
        double zone,
        double cold,
        double answer,
        double leaving,
        double suspicion,
        double tried) {
    /** Creates a cost. */
    public ServerCost {
        Objects.requireNonNull(server, "server");
    }

    /** Returns the sum of the parts. */
    public double total() {
        return load + ownSlot + zone + cold + answer + leaving + suspicion + tried;
    }
}
