package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.slot.LeasedSlotPool;
import org.heatherreach.coordination.slot.ServerSubsets;
import org.heatherreach.coordination.slot.SlotAction;
import org.heatherreach.coordination.slot.SlotServer;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.BackendServer;

/**
 * Applies changes of the table, the servers, the members and the shares to the pools and ledgers of a service.
 *
 * <p>Invariants: a service has as many parts as its servers need; this daemon has a ledger for exactly the parts that it
 * owns; no queued request is lost when a part ends; no server is assigned to more daemons than its connection limit
 * allows.
 *
 * <p>Thread safety: confined to the duty thread.
 */
final class ScheduleRefresher {
    private final Map<ServiceId, ScheduledService> services;
    private final MemberDirectory members;
    private final FleetChangeTracker changes;
    private final PartOwners owners;
    private final SubmissionDispatcher dispatcher;
    private final SlotMessages messages;
    private final RandomGenerator random;
    private final LongConsumer tickAdvance;

    /**
     * Creates a refresher.
     *
     * @param services the services of the duty, to which services are added and from which they are removed
     * @param members the members of the fleet
     * @param changes has the table, the servers and the owners
     * @param dispatcher carries out the actions of pools
     * @param messages sends the messages of ledgers
     * @param random the source of the random choices of new pools
     * @param tickAdvance advances the next tick to a time, if it is later
     */
    ScheduleRefresher(
            Map<ServiceId, ScheduledService> services,
            MemberDirectory members,
            FleetChangeTracker changes,
            SubmissionDispatcher dispatcher,
            SlotMessages messages,
            RandomGenerator random,
            LongConsumer tickAdvance) {
        this.services = Objects.requireNonNull(services, "services");
        this.members = Objects.requireNonNull(members, "members");
        this.changes = Objects.requireNonNull(changes, "changes");
        this.owners = changes.owners();
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.messages = Objects.requireNonNull(messages, "messages");
        this.random = Objects.requireNonNull(random, "random");
        this.tickAdvance = Objects.requireNonNull(tickAdvance, "tickAdvance");
    }

    /**
     * Applies the table, the listed servers, the members and the shares to a service; removes the service if the table
     * has it no longer.
     *
     * @param shares the shares of the servers in percent; a server without one has its full share
     */
    void refresh(ServiceId id, Map<ServerId, Integer> shares, long nowNanos) {
        ServiceLimits limits = changes.limits(id).getOrNull();
        if (limits == null) {
            ScheduledService removed = services.remove(id);
            if (removed != null) {
                removed.parts().forEach(part -> removePart(removed, part, nowNanos));
            }
            return;
        }
        ScheduledService service = services.computeIfAbsent(id, key -> new ScheduledService());
        Map<Rank, RankLimits> rankLimits = new EnumMap<>(Rank.class);
        for (Rank rank : Rank.values()) {
            rankLimits.put(rank, changes.table().rank(id, rank));
        }
        service.listed().update(changes.listed(id));
        int count = service.listed().partCount();
        List<ScheduledPart> surplus = new ArrayList<>();
        while (service.parts().size() > count) {
            surplus.add(service.parts().remove(service.parts().size() - 1));
        }
        while (service.parts().size() < count) {
            int number = service.parts().size();
            LeasedSlotPool pool = new LeasedSlotPool(
                    limits, rankLimits, number, members.self().zone(), workspace -> 0, random, nowNanos);
            service.parts().add(new ScheduledPart(owners.partId(id, number), pool, limits, rankLimits, nowNanos));
        }
        for (ScheduledPart part : service.parts()) {
            refreshPart(service, part, limits, rankLimits, shares, nowNanos);
        }
        for (ScheduledPart part : surplus) {
            // The servers of the part have moved to other parts.
            dispatcher.moveQueued(service, part, nowNanos);
            removePart(service, part, nowNanos);
        }
    }

    private void refreshPart(
            ScheduledService service,
            ScheduledPart part,
            ServiceLimits limits,
            Map<Rank, RankLimits> rankLimits,
            Map<ServerId, Integer> shares,
            long nowNanos) {
        List<SlotServer> all = new ArrayList<>();
        for (ListedServer entry : service.listed().serversOf(part.id().part())) {
            BackendServer server = entry.server();
            int sharePercent = entry.leaving() ? 0 : shares.getOrDefault(server.id(), 100);
            all.add(new SlotServer(server.id(), server.zone(), sharePercent));
        }
        List<SlotAction> limitActions = part.updateLimits(limits, rankLimits, nowNanos);
        dispatcher.carryOut(service, part, limitActions);
        dispatcher.carryOut(
                service,
                part,
                part.updateServers(
                        subset(all, limits), Math.max(1, owners.liveZones().size()), nowNanos));
        Optional<IncarnationId> owner = owners.owner(part.id());
        if (owner.isPresent() && owners.isSelf(owner.get())) {
            messages.sendAll(part.updateLedger(all, owners.liveZones(), nowNanos));
        } else {
            part.dropLedger();
        }
        if (owner.isPresent()) {
            dispatcher.carryOut(service, part, part.updateOwner(owner.get(), nowNanos));
        }
        tickAdvance.accept(part.updateDueNanos());
    }

    /** Returns the servers that this daemon may connect to, chosen so that no server exceeds its connection limit. */
    private List<SlotServer> subset(List<SlotServer> all, ServiceLimits limits) {
        Map<IncarnationId, ZoneId> live = owners.liveZones();
        IncarnationId self = members.self().incarnation();
        if ((long) live.size() * limits.slots() <= limits.connections() || !live.containsKey(self)) {
            return all;
        }
        List<ServerId> ids = all.stream().map(SlotServer::server).toList();
        Set<ServerId> assigned =
                ServerSubsets.assign(ids, live.keySet(), limits).get(self);
        return all.stream().filter(server -> assigned.contains(server.server())).toList();
    }

    /** Ends a part that was removed: its queued requests are refused, running ones are completed by their tickets. */
    private void removePart(ScheduledService service, ScheduledPart part, long nowNanos) {
        part.dropLedger();
        owners.remove(part.id());
        dispatcher.carryOut(service, part, part.updateServers(List.of(), 1, nowNanos));
    }
}
