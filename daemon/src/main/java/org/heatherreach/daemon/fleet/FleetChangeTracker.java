package org.heatherreach.daemon.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.state.table.Table;

/**
 * Compares the current members, servers and table with those that one duty has applied. No change is missed, even if
 * the refresh event that announces it is refused by a full ring: the next tick of the duty finds the pending request.
 *
 * <p>Thread safety: {@link #changeTable}, {@link #listen} and {@link #requestRefresh} are safe for use by any thread;
 * the rest is confined to the duty thread.
 */
final class FleetChangeTracker {
    private final MemberDirectory members;
    private final ServerDirectory servers;
    private final PartOwners owners;
    private final Runnable offerRefresh;
    private final AtomicBoolean refreshRequested = new AtomicBoolean();
    private volatile Table newestTable;
    private Table table;
    private Map<ServiceId, List<ListedServer>> listed = Map.of();

    /**
     * Creates a tracker that has collected nothing yet.
     *
     * @param offerRefresh offers a refresh event to the duty; the event may be lost
     */
    FleetChangeTracker(MemberDirectory members, ServerDirectory servers, Runnable offerRefresh) {
        this.members = Objects.requireNonNull(members, "members");
        this.servers = Objects.requireNonNull(servers, "servers");
        this.offerRefresh = Objects.requireNonNull(offerRefresh, "offerRefresh");
        this.owners = new PartOwners(members.self());
    }

    /** Requests a refresh now and after each change of members and servers. */
    void listen() {
        members.addListener((member, view) -> requestRefresh());
        servers.addListener(lists -> requestRefresh());
        requestRefresh();
    }

    void changeTable(Table newTable) {
        newestTable = Objects.requireNonNull(newTable, "newTable");
        requestRefresh();
    }

    void requestRefresh() {
        if (refreshRequested.compareAndSet(false, true)) {
            offerRefresh.run();
        }
    }

    /** Returns whether a refresh was requested, and clears the request. */
    boolean takeRefreshRequest() {
        return refreshRequested.getAndSet(false);
    }

    /**
     * Takes over the current members, servers and table, and collects the services that their changes affect.
     *
     * @param knownServices the services that the duty has; a change of members or of the table affects all of them
     * @param dirty receives the affected services
     * @return whether the members of the region changed
     */
    boolean collectChangedServices(Set<ServiceId> knownServices, Set<ServiceId> dirty) {
        Table nextTable = newestTable;
        Map<ServiceId, List<ListedServer>> nextListed = servers.servers();
        Set<ServiceId> listedServices = new HashSet<>(listed.keySet());
        listedServices.addAll(nextListed.keySet());
        boolean membersChanged = owners.update(members.view());
        if (membersChanged || nextTable != table) {
            dirty.addAll(knownServices);
            dirty.addAll(listedServices);
            if (nextTable != null) {
                dirty.addAll(nextTable.services());
            }
        } else if (nextListed != listed) {
            for (ServiceId service : listedServices) {
                if (!Objects.equals(listed.get(service), nextListed.get(service))) {
                    dirty.add(service);
                }
            }
        }
        table = nextTable;
        listed = nextListed;
        return membersChanged;
    }

    PartOwners owners() {
        return owners;
    }

    /** Returns the collected table, or null if there is none yet. */
    Table table() {
        return table;
    }

    Option<ServiceLimits> limits(ServiceId service) {
        return table == null ? Option.none() : table.service(service);
    }

    List<ListedServer> listed(ServiceId service) {
        return listed.getOrDefault(service, List.of());
    }
}
