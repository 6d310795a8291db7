package org.heatherreach.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.coordination.owner.ServiceParts;
import org.heatherreach.state.id.ServerId;

/** The listed servers of one service and their division into parts. Confined to one duty thread. */
final class ListedService {
    private List<ListedServer> listed = List.of();
    private Map<ServerId, ListedServer> byId = Map.of();
    private ServiceParts serviceParts = new ServiceParts(List.of());

    void update(List<ListedServer> newListed) {
        if (!newListed.equals(listed)) {
            listed = List.copyOf(newListed);
            Map<ServerId, ListedServer> next = new HashMap<>();
            listed.forEach(entry -> next.put(entry.server().id(), entry));
            byId = next;
            serviceParts = new ServiceParts(next.keySet());
        }
    }

    List<ListedServer> servers() {
        return listed;
    }

    /** Returns a listed server, or null. */
    ListedServer find(ServerId id) {
        return byId.get(id);
    }

    int partCount() {
        return serviceParts.count();
    }

    int partOf(ServerId id) {
        return serviceParts.partOf(id);
    }

    List<ListedServer> serversOf(int part) {
        if (serviceParts.count() == 1) {
            return listed;
        }
        return listed.stream()
                .filter(entry -> serviceParts.partOf(entry.server().id()) == part)
                .toList();
    }
}
