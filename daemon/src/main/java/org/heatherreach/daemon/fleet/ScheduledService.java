package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.owner.ServiceParts;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.transport.http.BackendServer;

/** One service in the schedule duty: its listed servers and its parts. Confined to the duty thread. */
final class ScheduledService {
    private final List<ScheduledPart> parts = new ArrayList<>();
    private List<ListedServer> listed = List.of();
    private Map<ServerId, BackendServer> servers = Map.of();
    private ServiceParts division = new ServiceParts(List.of());

    List<ScheduledPart> parts() {
        return parts;
    }

    /** Returns a listed server, or null. */
    BackendServer server(ServerId id) {
        return servers.get(id);
    }

    /** Replaces the listed servers and returns into how many parts they are divided. */
    int updateServers(List<ListedServer> newListed) {
        if (!newListed.equals(listed)) {
            listed = newListed;
            Map<ServerId, BackendServer> next = new HashMap<>();
            newListed.forEach(entry -> next.put(entry.server().id(), entry.server()));
            servers = next;
            division = new ServiceParts(next.keySet());
        }
        return division.count();
    }

    /** Returns the listed servers of a part. */
    List<ListedServer> serversOf(int part) {
        if (division.count() == 1) {
            return listed;
        }
        return listed.stream()
                .filter(entry -> division.partOf(entry.server().id()) == part)
                .toList();
    }

    /** Draws a part in proportion to the usable slots, so that each slot gets the same share of the requests. */
    ScheduledPart choosePart(RandomGenerator random) {
        int total = 0;
        for (ScheduledPart part : parts) {
            total += part.usableSlots();
        }
        if (parts.size() == 1 || total == 0) {
            return parts.get(0);
        }
        int drawn = random.nextInt(total);
        for (ScheduledPart part : parts) {
            drawn -= part.usableSlots();
            if (drawn < 0) {
                return part;
            }
        }
        return parts.get(0);
    }
}
