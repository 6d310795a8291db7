package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;

import org.heatherreach.coordination.balance.PoolResult;
import org.heatherreach.coordination.rank.RetryUsage;
import org.heatherreach.protocol.peer.wire.PoolFailure;
import org.heatherreach.protocol.peer.wire.PoolNews;
import org.heatherreach.protocol.peer.wire.PoolRetries;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.PoolPeers;
import org.heatherreach.transport.http.PooledScheduler;
import org.heatherreach.transport.peer.PacketHandler;
import org.heatherreach.transport.peer.PacketSocket;

/**
 * Exchanges with other daemons what the pools know: failures of servers at once, requests in flight at once within the
 * zone and a few times a second between zones, where bytes have a price.
 *
 * <p>Thread safety: the methods for outgoing news are called by the schedule duty, {@link #receive} by the event loop of
 * the socket; {@link #use} is called once before either.
 */
public final class PeerNews implements PoolPeers, PacketHandler<PoolNews> {
    /** Bounds the datagrams that one failure causes in a large fleet. */
    private static final int PEER_LIMIT = 64;
    /** Keeps a datagram with loads within its limit of bytes. */
    private static final int LOADS_PER_PACKET = 120;

    private final PacketSocket<PoolNews> socket;
    private final DaemonRegistry registry;
    private final long incarnation;
    private final Map<InetSocketAddress, PeerLoads> loadsByPeer = new HashMap<>();
    private Supplier<PooledScheduler> scheduler;
    private Supplier<Map<ServiceId, RetryUsage>> ownRetries;
    private volatile Map<ServiceId, RetryUsage> peerRetries = Map.of();

    /** Creates the exchange. */
    public PeerNews(PacketSocket<PoolNews> socket, DaemonRegistry registry, long incarnation) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.incarnation = incarnation;
    }

    /**
     * Sets what takes the news of peers and what they are told.
     *
     * @param pools takes failures and loads
     * @param retries the retry budgets of this daemon
     */
    public void use(Supplier<PooledScheduler> pools, Supplier<Map<ServiceId, RetryUsage>> retries) {
        scheduler = Objects.requireNonNull(pools, "pools");
        ownRetries = Objects.requireNonNull(retries, "retries");
    }

    @Override
    public void reportFailure(ServiceId service, ServerId server, long serverIncarnation, PoolResult result) {
        PoolNews news = PoolNews.newBuilder()
                .setSender(incarnation)
                .addFailures(PoolFailure.newBuilder()
                        .setService(service.value())
                        .setServer(server.value())
                        .setIncarnation(serverIncarnation)
                        .setResult(result.ordinal()))
                .build();
        registry.peers().stream().limit(PEER_LIMIT).forEach(peer -> socket.send(news, peer.address()));
    }

    @Override
    public void reportLoads(Map<Integer, Integer> inFlight, Set<Integer> answered, boolean near) {
        PoolNews.Builder news = PoolNews.newBuilder().setSender(incarnation).setHasLoads(true);
        inFlight.entrySet().stream()
                .limit(LOADS_PER_PACKET)
                .forEach(load -> news.addLoadedServers(load.getKey()).addInFlight(load.getValue()));
        if (near) {
            news.addAllAnsweredServers(answered);
            ownRetries
                    .get()
                    .forEach((service, usage) -> news.addRetries(PoolRetries.newBuilder()
                            .setService(service.value())
                            .setRequests((int) usage.requests())
                            .setRetries((int) usage.retries())));
        }
        PoolNews packet = news.build();
        registry.peers().stream()
                .filter(peer -> peer.near() == near)
                .limit(PEER_LIMIT)
                .forEach(peer -> socket.send(packet, peer.address()));
    }

    @Override
    public void receive(PoolNews news, InetSocketAddress from) {
        PoolResult[] results = PoolResult.values();
        for (PoolFailure failure : news.getFailuresList()) {
            if (failure.getResult() < results.length) {
                scheduler
                        .get()
                        .notePeerFailure(
                                news.getSender(),
                                new ServiceId(failure.getService()),
                                new ServerId(failure.getServer()),
                                failure.getIncarnation(),
                                results[failure.getResult()]);
            }
        }
        if (news.getHasLoads()) {
            noteLoads(news, from);
        }
    }

    private void noteLoads(PoolNews news, InetSocketAddress from) {
        Map<Integer, Integer> loads = new HashMap<>();
        int count = Math.min(news.getLoadedServersCount(), news.getInFlightCount());
        for (int i = 0; i < count; i++) {
            loads.put(news.getLoadedServers(i), news.getInFlight(i));
        }
        Set<Integer> changed = new HashSet<>(loads.keySet());
        long nowNanos = System.nanoTime();
        // A peer that fell silent no longer counts; its servers are among those whose sums change.
        loadsByPeer.values().removeIf(peer -> {
            boolean silent = nowNanos - peer.validUntilNanos >= 0;
            if (silent) {
                changed.addAll(peer.inFlight.keySet());
            }
            return silent;
        });
        PeerLoads before = loadsByPeer.put(
                from, new PeerLoads(loads, retriesOf(news), nowNanos + PooledScheduler.LOAD_VALID_NANOS));
        if (before != null) {
            changed.addAll(before.inFlight.keySet());
        }
        Map<Integer, Integer> sums = new HashMap<>();
        changed.forEach(server -> sums.put(server, sum(server)));
        scheduler.get().notePeerLoads(sums, Set.copyOf(news.getAnsweredServersList()));
        Map<ServiceId, RetryUsage> retries = new HashMap<>();
        loadsByPeer
                .values()
                .forEach(peer ->
                        peer.retries.forEach((service, usage) -> retries.merge(service, usage, RetryUsage::plus)));
        peerRetries = retries;
    }

    /** Returns the requests and repeats of the other daemons of the zone. */
    public RetryUsage peerRetries(ServiceId service) {
        return peerRetries.getOrDefault(service, RetryUsage.NONE);
    }

    private static Map<ServiceId, RetryUsage> retriesOf(PoolNews news) {
        Map<ServiceId, RetryUsage> retries = new HashMap<>();
        news.getRetriesList()
                .forEach(usage -> retries.put(
                        new ServiceId(usage.getService()), new RetryUsage(usage.getRequests(), usage.getRetries())));
        return retries;
    }

    private int sum(int server) {
        return loadsByPeer.values().stream()
                .mapToInt(loads -> loads.inFlight.getOrDefault(server, 0))
                .sum();
    }

    /**
     * What a peer told last.
     *
     * @param inFlight its requests in flight by the hash of the server
     * @param retries its retry budgets; empty if it is in another zone
     * @param validUntilNanos when this is forgotten
     */
    private record PeerLoads(
            Map<Integer, Integer> inFlight, Map<ServiceId, RetryUsage> retries, long validUntilNanos) {}
}
