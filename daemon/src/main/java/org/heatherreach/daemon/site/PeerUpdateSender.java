package org.heatherreach.daemon.site;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;

import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.coordination.balance.PoolResult;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.protocol.peer.CrashCodec;
import org.heatherreach.protocol.peer.wire.PoolFailure;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.PoolPeers;
import org.heatherreach.transport.peer.PacketSocket;

/**
 * Reports to other daemons what the pools of this one know: failures of servers at once, requests in flight at once within
 * the zone and a few times a second between zones, where bytes have a price.
 *
 * <p>Thread safety: safe for use by any thread; the methods do not block.
 */
public final class PeerUpdateSender implements PoolPeers, CrashPeers {
    /** Bounds the datagrams that one failure causes in a large fleet. */
    private static final int PEER_LIMIT = 64;

    private final PacketSocket<PoolUpdate> socket;
    private final DaemonRegistry registry;
    private final long incarnation;
    private final Supplier<Map<ServiceId, RetryUsage>> retries;

    /**
     * Creates a sender.
     *
     * @param incarnation the incarnation of this daemon
     * @param retries the retry windows of this daemon
     */
    public PeerUpdateSender(
            PacketSocket<PoolUpdate> socket,
            DaemonRegistry registry,
            long incarnation,
            Supplier<Map<ServiceId, RetryUsage>> retries) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.incarnation = incarnation;
        this.retries = Objects.requireNonNull(retries, "retries");
    }

    @Override
    public int count() {
        return Math.min(PEER_LIMIT, registry.peerCount());
    }

    @Override
    public void reportFailure(ServiceId service, ServerId server, long serverIncarnation, PoolResult result) {
        sendToAll(PoolUpdate.newBuilder()
                .addFailures(PoolFailure.newBuilder()
                        .setService(service.value())
                        .setServer(server.value())
                        .setIncarnation(serverIncarnation)
                        .setResult(result.ordinal())));
    }

    @Override
    public void reportLoads(Map<Integer, Integer> inFlight, Set<Integer> answered, boolean near) {
        List<PoolUpdate> packets = PoolUpdatePackets.split(
                incarnation, inFlight, near ? answered : Set.of(), near ? retries.get() : Map.of());
        registry.peers().stream()
                .filter(peer -> peer.near() == near)
                .limit(PEER_LIMIT)
                .forEach(peer -> packets.forEach(packet -> socket.send(packet, peer.address())));
    }

    @Override
    public void reportCrash(CrashReport report) {
        sendToAll(PoolUpdate.newBuilder().addCrashes(CrashCodec.encode(report)));
    }

    @Override
    public void reportCleared(SuspectUpdate update) {
        sendToAll(PoolUpdate.newBuilder().addCleared(CrashCodec.encode(update)));
    }

    private void sendToAll(PoolUpdate.Builder update) {
        PoolUpdate packet = update.setSender(incarnation).build();
        registry.peers().stream().limit(PEER_LIMIT).forEach(peer -> socket.send(packet, peer.address()));
    }
}
