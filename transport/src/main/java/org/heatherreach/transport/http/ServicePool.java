package org.heatherreach.transport.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.heatherreach.coordination.balance.PoolAction;
import org.heatherreach.coordination.balance.ServerPool;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * The pool of one service and the addresses of its servers.
 *
 * <p>Invariant: after a replacement of the servers, the address of each listed server is known, and of no other one.
 *
 * <p>Confined to one duty thread.
 */
final class ServicePool {
    private final ServiceId service;
    private final ServerPool serverPool;
    private final Map<ServerId, BackendServer> servers = new HashMap<>();

    ServicePool(ServiceId service, ServerPool serverPool) {
        this.service = Objects.requireNonNull(service, "service");
        this.serverPool = Objects.requireNonNull(serverPool, "serverPool");
    }

    ServiceId service() {
        return service;
    }

    ServerPool serverPool() {
        return serverPool;
    }

    /** Returns a server that is listed, or null if there is none with the id. */
    BackendServer server(ServerId id) {
        return servers.get(id);
    }

    /** Replaces the servers. */
    List<PoolAction> replaceServers(List<PooledServer> listed, long nowNanos) {
        listed.forEach(server -> servers.put(server.server().id(), server.server()));
        List<PoolAction> actions = serverPool.replaceServers(
                listed.stream().map(PooledServer::toPoolServer).toList(), nowNanos);
        servers.keySet()
                .retainAll(listed.stream().map(server -> server.server().id()).collect(Collectors.toSet()));
        return actions;
    }
}
