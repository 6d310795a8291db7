package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;

import org.heatherreach.coordination.health.HealthAction;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * Publishes the state of the servers: to the log and the counters, to the listener, and as the status for operators.
 *
 * <p>Invariants: each change of the state of a server is logged once and counted; traffic shares are published when they
 * change.
 *
 * <p>Thread safety: {@link #status} is safe for use by any thread, the other methods are confined to the duty thread.
 */
final class HealthPublisher {
    private final HealthListener listener;
    private final HealthChanges healthChanges;
    private final Map<ServiceId, List<ServerStatus>> status = new ConcurrentSkipListMap<>();

    HealthPublisher(HealthListener listener, HealthChanges healthChanges) {
        this.listener = Objects.requireNonNull(listener, "listener");
        this.healthChanges = Objects.requireNonNull(healthChanges, "healthChanges");
    }

    /** Returns the status of each listed server, ordered by service. */
    List<ServerStatus> status() {
        List<ServerStatus> all = new ArrayList<>();
        status.values().forEach(all::addAll);
        return all;
    }

    /** Removes a service that is no longer in the table. */
    void remove(ServiceId service) {
        status.remove(service);
        listener.onSharesChanged(service, Map.of());
    }

    /** Applies the listed servers of a part and those that are draining. */
    void updateServers(HealthService service, HealthPart part, long nowNanos) {
        Set<ServerId> ids = new HashSet<>();
        Set<ServerId> listedLeaving = new HashSet<>();
        for (ListedServer entry : service.listed().serversOf(part.id().part())) {
            ids.add(entry.server().id());
            if (entry.leaving()) {
                listedLeaving.add(entry.server().id());
            }
        }
        Set<ServerId> before = part.unavailable();
        List<HealthAction> actions = part.updateServers(ids, listedLeaving, nowNanos);
        for (ServerId server : part.unavailable()) {
            if (!before.contains(server)) {
                healthChanges.recordLeaving(service, server);
            }
        }
        for (ServerId server : before) {
            if (!part.unavailable().contains(server) && ids.contains(server)) {
                healthChanges.recordReturned(service, server);
            }
        }
        carryOut(service, part, actions, nowNanos);
        publish(service, nowNanos);
    }

    /** Records changes of a part, and publishes its service if there are any. */
    void carryOut(HealthService service, HealthPart part, List<HealthAction> actions, long nowNanos) {
        healthChanges.recordActions(service, part, actions, nowNanos);
        if (!actions.isEmpty()) {
            publish(service, nowNanos);
        }
    }

    /** Publishes the state of the servers of a service, and their shares if they have changed. */
    void publish(HealthService service, long nowNanos) {
        for (HealthPart part : service.parts()) {
            // Reading a share also expires restrictions without reporting them, so the tick has to report them first.
            healthChanges.recordActions(service, part, part.health().tick(nowNanos), nowNanos);
        }
        if (service.updateShares(nowNanos)) {
            listener.onSharesChanged(service.id(), service.shares());
        }
        status.put(service.id(), service.status());
    }
}
