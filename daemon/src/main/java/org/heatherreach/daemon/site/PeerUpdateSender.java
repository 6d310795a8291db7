package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.coordination.balance.PoolResult;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.protocol.peer.CrashCodec;
import org.heatherreach.protocol.peer.wire.PoolFailure;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.http.PoolPeers;
import org.heatherreach.transport.peer.PacketSocket;

/**
 * Sends the observations of this daemon's server pools to the other daemons: failures, crashes and clearings to all,
 * and loads either to the peers of the zone or to those of other zones. The scheduler sends loads to other zones less
 * often, because bytes between zones have a price.
 *
 * <p>Thread safety: safe for use by any thread; the methods do not block.
 */
public final class PeerUpdateSender implements PoolPeers, CrashPeers {
    /** Bounds the number of datagrams that one failure causes in a large fleet. */
    private static final int MAX_PEERS = ZoneForwarding.MAX_DIRECT_PEERS;

    private final PacketSocket<PoolUpdate> socket;
    private final DaemonRegistry registry;
    private final ZoneForwarding forwarding;
    private final StoreView view;
    private final LongSupplier tableVersion;
    private final Supplier<Map<ServiceId, RetryUsage>> retries;
    private final PeerRotation sameZoneRotation;
    private final PeerRotation otherZonesRotation;
    private final ReportedRevision sameZoneRevision = new ReportedRevision();
    private final ReportedRevision otherZonesRevision = new ReportedRevision();

    /**
     * Creates a sender.
     *
     * @param forwarding sends reports to other zones that have many daemons
     * @param view how far this daemon has read the store
     * @param tableVersion supplies the version of the routing table in use
     * @param retries supplies the retry windows of this daemon
     * @param random draws which peers of a large fleet get the first reports
     */
    public PeerUpdateSender(
            PacketSocket<PoolUpdate> socket,
            DaemonRegistry registry,
            ZoneForwarding forwarding,
            StoreView view,
            LongSupplier tableVersion,
            Supplier<Map<ServiceId, RetryUsage>> retries,
            RandomGenerator random) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.forwarding = Objects.requireNonNull(forwarding, "forwarding");
        this.view = Objects.requireNonNull(view, "view");
        this.tableVersion = Objects.requireNonNull(tableVersion, "tableVersion");
        this.retries = Objects.requireNonNull(retries, "retries");
        this.sameZoneRotation = new PeerRotation(random);
        this.otherZonesRotation = new PeerRotation(random);
    }

    @Override
    public int peerCount(boolean sameZone) {
        return Math.min(MAX_PEERS, registry.peerCount(sameZone));
    }

    @Override
    public DaemonId self() {
        return registry.self();
    }

    @Override
    public List<DaemonId> zoneDaemons() {
        return registry.zoneDaemons();
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
    public boolean hasUnreportedChange(boolean sameZone) {
        return (sameZone ? sameZoneRevision : otherZonesRevision).isUnreported(view.revision());
    }

    @Override
    public void reportLoads(Map<Integer, Integer> inFlight, Set<Integer> answered, boolean sameZone) {
        reportLoads(inFlight, Map.of(), answered, Set.of(), sameZone);
    }

    @Override
    public void reportLoads(
            Map<Integer, Integer> inFlight,
            Map<Integer, Long> workLeftNanos,
            Set<Integer> answered,
            Set<Integer> rejecting,
            boolean sameZone) {
        PoolUpdate header = header();
        List<PoolUpdate> packets = PoolUpdatePackets.split(
                header,
                inFlight,
                workLeftNanos,
                sameZone ? answered : Set.of(),
                sameZone ? rejecting : Set.of(),
                sameZone ? retries.get() : Map.of());
        if (sameZone || !forwarding.sendAcross(packets, ZoneForwarding.LOAD_COPIES)) {
            select(sameZone, MAX_PEERS).forEach(peer -> packets.forEach(packet -> socket.send(packet, peer.address())));
        }
        (sameZone ? sameZoneRevision : otherZonesRevision)
                .recordReport(new StoreRevision(header.getStoreEra(), header.getStoreRevision()));
    }

    @Override
    public void reportCrash(CrashReport report) {
        sendToAll(PoolUpdate.newBuilder().addCrashes(CrashCodec.encode(report)));
    }

    @Override
    public void reportCleared(SuspectUpdate update) {
        sendToAll(PoolUpdate.newBuilder().addCleared(CrashCodec.encode(update)));
    }

    /** Sends an update to one daemon. */
    void send(PoolUpdate.Builder update, InetSocketAddress recipient) {
        socket.send(update.mergeFrom(header()).build(), recipient);
    }

    private PoolUpdate header() {
        StoreRevision revision = view.revision();
        return PoolUpdate.newBuilder()
                .setSender(registry.incarnation())
                .setStoreRevision(revision.revision())
                .setStoreEra(revision.era())
                .setTableVersion(tableVersion.getAsLong())
                .build();
    }

    private void sendToAll(PoolUpdate.Builder update) {
        PoolUpdate packet = update.mergeFrom(header()).build();
        List<DaemonRegistry.Peer> inZone = select(true, MAX_PEERS);
        inZone.forEach(peer -> socket.send(packet, peer.address()));
        if (!forwarding.sendAcross(List.of(packet), ZoneForwarding.EVENT_COPIES)) {
            select(false, MAX_PEERS - inZone.size()).forEach(peer -> socket.send(packet, peer.address()));
        }
    }

    private List<DaemonRegistry.Peer> select(boolean sameZone, int limit) {
        List<DaemonRegistry.Peer> peers = registry.peers().stream()
                .filter(peer -> peer.sameZone() == sameZone)
                .toList();
        return (sameZone ? sameZoneRotation : otherZonesRotation).select(peers, limit);
    }
}
