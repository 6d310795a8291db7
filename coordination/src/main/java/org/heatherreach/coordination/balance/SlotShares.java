package org.heatherreach.coordination.balance;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * Divides the slots of the servers in an availability zone among the daemons of that zone, without messages: the slots,
 * in the order of the servers' ids, go to the daemons in turn.
 *
 * <p>Invariants: daemons with the same lists compute the same division; every slot is the share of one daemon, and the
 * shares of two daemons differ by at most one slot. A daemon has no share in servers of other zones.
 *
 * <p>A share is a preference and no lease: other daemons may use the slot while it is free, and daemons whose lists
 * differ for a while at most send a server more requests than it has slots, which it queues.
 *
 * <p>Confined to one duty thread.
 */
final class SlotShares {
    private final ZoneId zone;
    private final Map<ServerId, Integer> sharesByServer = new HashMap<>();
    private int ownPosition = -1;
    private int daemonCount;

    SlotShares(ZoneId zone) {
        this.zone = Objects.requireNonNull(zone, "zone");
    }

    /**
     * Replaces the daemons that share the slots; {@link #divide} has to be called afterwards.
     *
     * @param self this daemon
     * @param daemons the daemons of the zone; this daemon has no share if it is not among them
     */
    void replaceDaemons(DaemonId self, Collection<DaemonId> daemons) {
        List<DaemonId> ordered = daemons.stream().sorted().distinct().toList();
        ownPosition = ordered.indexOf(self);
        daemonCount = ordered.size();
    }

    /** Returns the number of daemons that share the slots. */
    int daemonCount() {
        return daemonCount;
    }

    /** Divides the slots of the servers, of which those in other zones are ignored. */
    void divide(Collection<PoolServer> servers) {
        sharesByServer.clear();
        if (ownPosition < 0) {
            return;
        }
        List<PoolServer> ordered = servers.stream()
                .filter(server -> server.zone().equals(zone))
                .sorted(Comparator.comparing(PoolServer::id))
                .toList();
        int firstSlot = 0;
        for (PoolServer server : ordered) {
            int endSlot = firstSlot + server.slots();
            sharesByServer.put(server.id(), turnsBefore(endSlot) - turnsBefore(firstSlot));
            firstSlot = endSlot;
        }
    }

    /** Divides the slots of the servers, sets the shares of this daemon and how the failures of the servers count. */
    void divideAmong(Collection<ServerLoad> loads, FailureMeasure failures) {
        divide(loads.stream().map(ServerLoad::server).toList());
        for (ServerLoad load : loads) {
            load.setOwnSlots(slotsAt(load.server().id()));
            load.setZone(daemonCount, failures);
        }
    }

    /** Returns the number of slots of the server that are this daemon's share. */
    int slotsAt(ServerId server) {
        return sharesByServer.getOrDefault(server, 0);
    }

    /** Returns how many of the slots before the given one are this daemon's. */
    private int turnsBefore(int slot) {
        return (slot + daemonCount - 1 - ownPosition) / daemonCount;
    }
}
