package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * The servers of a pool with their leased and used slots. Chooses the server for a request.
 *
 * <p>Invariant: a server that is no longer listed is kept until its requests have ended and its leases have been
 * returned or have expired.
 *
 * <p>Confined to one thread.
 */
final class LeasedServers {
    private final ZoneId zone;
    private final RandomGenerator random;
    private final Map<ServerId, LeasedServer> servers = new LinkedHashMap<>();

    /** The listed servers with a share above zero: those in the zone of this daemon first, then by id. */
    private final List<LeasedServer> usableServers = new ArrayList<>();

    LeasedServers(ZoneId zone, RandomGenerator random) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Replaces the listed servers. */
    void setListed(List<SlotServer> listed, int slotsPerServer) {
        for (LeasedServer server : servers.values()) {
            server.sharePercent = 0;
        }
        usableServers.clear();
        for (SlotServer entry : listed) {
            LeasedServer server = findOrAdd(entry.server());
            server.sharePercent = entry.sharePercent();
            server.sameZone = entry.zone().equals(zone);
            if (entry.sharePercent() > 0) {
                usableServers.add(server);
            }
        }
        usableServers.sort(
                Comparator.comparing((LeasedServer server) -> !server.sameZone).thenComparing(server -> server.id));
        updateSlots(slotsPerServer);
    }

    /** Recomputes the usable slots of all servers from the number of slots of a server at full share. */
    void updateSlots(int slotsPerServer) {
        for (LeasedServer server : servers.values()) {
            server.usableSlots = server.sharePercent == 0
                    ? 0
                    : new SlotServer(server.id, zone, server.sharePercent).usableSlots(slotsPerServer);
        }
    }

    boolean isEmpty() {
        return usableServers.isEmpty();
    }

    /** Returns the server with the given id; null if the pool does not know it. */
    LeasedServer find(ServerId id) {
        return servers.get(id);
    }

    LeasedServer findOrAdd(ServerId id) {
        return servers.computeIfAbsent(id, LeasedServer::new);
    }

    /**
     * Returns the allowed server with the most idle leased slots, preferring the availability zone of this daemon;
     * null if there is none.
     */
    LeasedServer chooseLeased(SlotRequest request, Set<ServerId> tried) {
        LeasedServer best = null;
        for (LeasedServer server : usableServers) {
            if (best != null && best.sameZone && !server.sameZone) {
                break;
            }
            if (server.idleSlots() > 0
                    && (best == null || server.idleSlots() > best.idleSlots())
                    && isAllowed(server, request, tried)) {
                best = server;
            }
        }
        return best;
    }

    /**
     * Picks two random servers among the allowed ones with a free slot, and returns the one that runs fewer requests of
     * this daemon; null if no allowed server has a free slot.
     */
    LeasedServer chooseOnLocalShare(SlotRequest request, Set<ServerId> tried) {
        LeasedServer first = null;
        LeasedServer second = null;
        int seen = 0;
        // Reservoir sampling of two candidates.
        for (LeasedServer server : usableServers) {
            if (server.inUse < server.usableSlots && isAllowed(server, request, tried)) {
                seen++;
                if (first == null) {
                    first = server;
                } else if (second == null) {
                    second = server;
                } else {
                    int position = random.nextInt(seen);
                    first = position == 0 ? server : first;
                    second = position == 1 ? server : second;
                }
            }
        }
        if (second == null || first.inUse < second.inUse) {
            return first;
        }
        return second.inUse < first.inUse || random.nextBoolean() ? second : first;
    }

    /** Returns whether a usable server remains that was not tried. */
    boolean hasUntried(Set<ServerId> tried) {
        return usableServers.stream().anyMatch(server -> !tried.contains(server.id));
    }

    /** Returns the number of slots of all usable servers. */
    int usableSlots() {
        return usableServers.stream().mapToInt(server -> server.usableSlots).sum();
    }

    /** Returns the number of leased slots of all usable servers. */
    int heldSlots() {
        return usableServers.stream().mapToInt(server -> server.held).sum();
    }

    /** Returns the number of leased slots that no request uses. */
    int idleSlots() {
        return usableServers.stream()
                .mapToInt(server -> Math.max(0, server.idleSlots()))
                .sum();
    }

    /** Returns whether any usable server has a leased slot that no request uses. */
    boolean hasIdleSlot() {
        return usableServers.stream().anyMatch(server -> server.idleSlots() > 0);
    }

    /** Returns whether any slot of any server is leased. */
    boolean hasLeases() {
        return servers.values().stream().anyMatch(server -> server.held > 0);
    }

    /**
     * Returns at most the given number of idle slots to the owner, those in other zones first. The result is true if
     * any slot was returned.
     */
    boolean returnIdleSlots(int count) {
        int remaining = count;
        boolean anyReturned = false;
        for (int i = usableServers.size() - 1; i >= 0 && remaining > 0; i--) {
            LeasedServer server = usableServers.get(i);
            int returned = Math.min(remaining, server.held - server.inUse);
            if (returned > 0) {
                server.held -= returned;
                remaining -= returned;
                anyReturned = true;
            }
        }
        return anyReturned;
    }

    void dropLeases() {
        servers.values().forEach(server -> server.held = 0);
    }

    /** Removes servers that are neither listed nor leased nor in use. */
    void removeUnused() {
        servers.values().removeIf(server -> server.sharePercent == 0 && server.held == 0 && server.inUse == 0);
    }

    /** Returns the holdings for a report: the servers with leased or used slots. */
    List<SlotHolding> holdings() {
        List<SlotHolding> holdings = new ArrayList<>();
        for (LeasedServer server : servers.values()) {
            if (server.held > 0 || server.inUse > 0) {
                holdings.add(new SlotHolding(server.id, server.held, server.inUse));
            }
        }
        return holdings;
    }

    private static boolean isAllowed(LeasedServer server, SlotRequest request, Set<ServerId> tried) {
        return (tried == null || !tried.contains(server.id))
                && request.allowed().test(server.id);
    }
}
