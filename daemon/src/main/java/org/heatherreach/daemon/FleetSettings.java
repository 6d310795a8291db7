package org.heatherreach.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.coordination.member.MemberAddress;

/**
 * The addresses at which a daemon reaches its peers and the platform. Immutable and safe for use by any thread.
 *
 * @param peerAddress the address at which this daemon receives packets and frames from its peers
 * @param seeds the addresses of peers to contact when joining the fleet
 * @param storeEndpoints the endpoints of the key-value store
 * @param vmList the address of the list of VMs; if empty, the settings name the servers
 */
public record FleetSettings(
        MemberAddress peerAddress,
        List<MemberAddress> seeds,
        List<InetSocketAddress> storeEndpoints,
        Option<InetSocketAddress> vmList) {
    public FleetSettings {
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(vmList, "vmList");
        seeds = List.copyOf(seeds);
        storeEndpoints = List.copyOf(storeEndpoints);
    }
}
