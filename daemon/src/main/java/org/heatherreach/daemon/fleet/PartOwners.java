package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.coordination.owner.OwnerMap;
import org.heatherreach.coordination.owner.PartId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

/**
 * The members of this daemon's region and the owners of the service parts of that region. It compares complete views,
 * so a change whose notification was lost is found with the next one. Confined to one duty thread.
 */
final class PartOwners {
    private final Member self;
    private final OwnerMap owners = new OwnerMap();
    private Map<IncarnationId, Member> liveMembers = new HashMap<>();
    private Map<IncarnationId, ZoneId> liveZones = Map.of();
    private List<IncarnationId> peers = List.of();

    PartOwners(Member self) {
        this.self = Objects.requireNonNull(self, "self");
    }

    /** Applies a view; returns whether a member of the region joined, left or stopped accepting new work. */
    boolean update(MemberView view) {
        Map<IncarnationId, Member> next = new HashMap<>();
        List<IncarnationId> nextPeers = new ArrayList<>();
        for (Member member : view.reachable()) {
            if (!member.region().equals(self.region())) {
                continue;
            }
            if (member.state().isLive()) {
                next.put(member.incarnation(), member);
            }
            if (!isSelf(member.incarnation())) {
                nextPeers.add(member.incarnation());
            }
        }
        boolean changed = !next.keySet().equals(liveMembers.keySet()) || !nextPeers.equals(peers);
        if (!changed) {
            return false;
        }
        liveMembers.forEach((incarnation, member) -> {
            if (!next.containsKey(incarnation)) {
                owners.updateMember(member.with(MemberState.DEAD, member.counter()));
            }
        });
        next.values().forEach(owners::updateMember);
        liveMembers = next;
        Map<IncarnationId, ZoneId> zones = new HashMap<>();
        next.forEach((incarnation, member) -> zones.put(incarnation, member.zone()));
        liveZones = Map.copyOf(zones);
        peers = List.copyOf(nextPeers);
        return true;
    }

    boolean isSelf(IncarnationId incarnation) {
        return self.incarnation().equals(incarnation);
    }

    PartId partId(ServiceId service, int part) {
        return new PartId(self.region(), service, part);
    }

    /**
     * Returns the owner of a part; empty if the region has no live member, for example while its only member is
     * leaving.
     */
    Optional<IncarnationId> owner(PartId part) {
        return owners.owner(part).map(Member::incarnation);
    }

    void remove(PartId part) {
        owners.remove(part);
    }

    /** Returns the members that accept new work, with their zones; this daemon is one of them unless it is leaving. */
    Map<IncarnationId, ZoneId> liveZones() {
        return liveZones;
    }

    /** Returns the other reachable members of the region, including those that are leaving. */
    List<IncarnationId> peers() {
        return peers;
    }
}
