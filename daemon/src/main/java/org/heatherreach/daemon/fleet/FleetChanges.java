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
 * The newest members, servers and table, compared with those that one duty has seen before. Every change is found even
 * if its announcement was lost: the next tick of the duty finds that a refresh is wanted.
 *
 * <p>Thread safety: {@link #changeTable}, {@link #listen} and {@link #wantRefresh} are safe for use by any thread; the rest
 * is confined to the duty thread.
 */
final class FleetChanges {
    private final MemberDirectory members;
    private final ServerDirectory servers;
    private final PartOwners owners;
    private final Runnable offerRefresh;
    private final AtomicBoolean refreshWanted = new AtomicBoolean();
    private volatile Table newestTable;
    private Table table;
    private Map<ServiceId, List<ListedServer>> listed = Map.of();

    /**
     * Creates changes that were not looked at.
     *
     * @param offerRefresh asks the duty for a refresh; may be lost
     */
    FleetChanges(MemberDirectory members, ServerDirectory servers, Runnable offerRefresh) {
        this.members = Objects.requireNonNull(members, "members");
        this.servers = Objects.requireNonNull(servers, "servers");
        this.offerRefresh = Objects.requireNonNull(offerRefresh, "offerRefresh");
        this.owners = new PartOwners(members.self());
    }

    /** Wants a refresh now and after each change of members and servers. */
    void listen() {
        members.addListener((member, view) -> wantRefresh());
        servers.addListener(lists -> wantRefresh());
        wantRefresh();
    }

    void changeTable(Table newTable) {
        newestTable = Objects.requireNonNull(newTable, "newTable");
        wantRefresh();
    }

    void wantRefresh() {
        if (refreshWanted.compareAndSet(false, true)) {
            offerRefresh.run();
        }
    }

    /** Returns whether a refresh is wanted, and takes the wish as met. */
    boolean takeWanted() {
        return refreshWanted.getAndSet(false);
    }

    /**
     * Takes over what is newest.
     *
     * @param known the services that the duty has; all of them are concerned by a change of members
     * @param dirty receives the services that a change concerns
     * @return whether the members of the region changed
     */
    boolean collect(Set<ServiceId> known, Set<ServiceId> dirty) {
        Table nextTable = newestTable;
        Map<ServiceId, List<ListedServer>> nextListed = servers.servers();
        Set<ServiceId> named = new HashSet<>(listed.keySet());
        named.addAll(nextListed.keySet());
        boolean membersChanged = owners.update(members.view());
        if (membersChanged || nextTable != table) {
            dirty.addAll(known);
            dirty.addAll(named);
            if (nextTable != null) {
                dirty.addAll(nextTable.services());
            }
        } else if (nextListed != listed) {
            for (ServiceId service : named) {
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

    /** Returns the table, or null before there is one. */
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
