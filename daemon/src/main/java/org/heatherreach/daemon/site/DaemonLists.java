package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.heatherreach.protocol.peer.wire.DaemonEntry;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ZoneId;

/**
 * What follows from the entries of the daemons of a site, computed once for each change of them. Immutable and safe for use
 * by any thread.
 */
final class DaemonLists {
    private final List<DaemonEntry> listed;
    private final List<DaemonRegistry.Peer> peers;
    private final Map<ZoneId, List<InetSocketAddress>> otherZones;
    private final List<DaemonId> zoneDaemons;
    private final int zonePeerCount;
    private final int otherPeerCount;

    /**
     * Computes the lists.
     *
     * @param self the entry of this daemon
     * @param leaving whether this daemon is leaving, so that it is not listed
     * @param others the entries of the other daemons, including those that are leaving
     */
    DaemonLists(DaemonEntry self, boolean leaving, List<DaemonEntry> others) {
        zonePeerCount =
                (int) others.stream().filter(entry -> isInZone(entry, self)).count();
        otherPeerCount = others.size() - zonePeerCount;
        List<DaemonEntry> present = new ArrayList<>();
        if (!leaving) {
            present.add(self);
        }
        others.stream().filter(entry -> !entry.getLeaving()).forEach(present::add);
        listed = List.copyOf(present);
        peers = listed.stream()
                .filter(entry -> !entry.getName().equals(self.getName()))
                .map(entry -> DaemonRegistry.Peer.of(entry, self))
                .sorted(Comparator.comparing(DaemonRegistry.Peer::sameZone).reversed())
                .toList();
        otherZones = Collections.unmodifiableMap(groupOtherZones(self));
        zoneDaemons = listed.stream()
                .filter(entry -> isInZone(entry, self))
                .map(entry -> new DaemonId(entry.getName()))
                .sorted()
                .toList();
    }

    private Map<ZoneId, List<InetSocketAddress>> groupOtherZones(DaemonEntry self) {
        Map<ZoneId, List<InetSocketAddress>> zones = new TreeMap<>(Comparator.comparing(ZoneId::value));
        for (DaemonEntry entry : listed) {
            if (!isInZone(entry, self)) {
                zones.computeIfAbsent(new ZoneId(entry.getZone()), zone -> new ArrayList<>())
                        .add(new InetSocketAddress(entry.getHost(), entry.getPeerPort()));
            }
        }
        zones.replaceAll((zone, addresses) -> List.copyOf(addresses));
        return zones;
    }

    private static boolean isInZone(DaemonEntry entry, DaemonEntry self) {
        return entry.getZone().equals(self.getZone());
    }

    /** Returns the daemons that are not leaving. */
    List<DaemonEntry> listed() {
        return listed;
    }

    /** Returns the datagram addresses of the other listed daemons; those in the zone of this daemon come first. */
    List<DaemonRegistry.Peer> peers() {
        return peers;
    }

    /** Returns the datagram addresses of the listed daemons of the other zones, by zone. */
    Map<ZoneId, List<InetSocketAddress>> otherZones() {
        return otherZones;
    }

    /** Returns the listed daemons in the zone of this daemon in a fixed order. */
    List<DaemonId> zoneDaemons() {
        return zoneDaemons;
    }

    /** Returns the number of other daemons in the zone of this daemon or outside of it, including those that are leaving. */
    int peerCount(boolean sameZone) {
        return sameZone ? zonePeerCount : otherPeerCount;
    }
}
