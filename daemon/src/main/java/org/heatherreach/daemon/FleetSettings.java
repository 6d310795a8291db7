package org.heatherreach.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.coordination.member.MemberAddress;

/**
 * Where a daemon finds its peers and the platform. Immutable and safe for use by any thread.
 *
 * @param peerAddress where this daemon receives packets and frames of its peers
 * @param seeds addresses of peers for a first contact
 * @param storeEndpoints the key-value service
 * @param vmList the list of VMs, if there is one; otherwise the settings name the servers
 */
public record FleetSettings(
        MemberAddress peerAddress,
        List<MemberAddress> seeds,
        List<InetSocketAddress> storeEndpoints,
        Option<InetSocketAddress> vmList) {
    /** Creates settings. */
    public FleetSettings {
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(vmList, "vmList");
        seeds = List.copyOf(seeds);
        storeEndpoints = List.copyOf(storeEndpoints);
    }
}
