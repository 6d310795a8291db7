package org.heatherreach.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import org.heatherreach.coordination.atmostonce.ExecutionLimits;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberList;
import org.heatherreach.coordination.member.MemberSettings;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.owner.OwnerMap;
import org.heatherreach.coordination.table.GossipTableDistribution;
import org.heatherreach.daemon.DaemonParts;
import org.heatherreach.daemon.DaemonSettings;
import org.heatherreach.daemon.FleetSettings;
import org.heatherreach.daemon.HttpDaemon;
import org.heatherreach.daemon.RequestIdSource;
import org.heatherreach.protocol.peer.wire.MemberPacket;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.Endpoint;
import org.heatherreach.transport.http.RequestHistory;
import org.heatherreach.transport.http.ServingGate;
import org.heatherreach.transport.kv.HttpKeyValueStore;
import org.heatherreach.transport.kv.TableStore;
import org.heatherreach.transport.peer.PacketSocket;
import org.heatherreach.transport.peer.PeerCounters;
import org.heatherreach.transport.peer.PeerLinks;
import org.jboss.logging.Logger;

/**
 * One daemon of a fleet: the request path and the duties that coordinate with its peers.
 *
 * <p>Invariant: {@link #shutDown} announces the departure before the request path drains, so that no address list for
 * callers contains this daemon while it drains.
 *
 * <p>Thread safety: {@link #shutDown} is called once, by any thread.
 */
public final class FleetDaemon {
    private static final Logger LOG = Logger.getLogger(FleetDaemon.class);
    private static final int PEER_THREADS = 1;
    private static final long ANNOUNCEMENT_TIMEOUT_SECONDS = 2;
    private static final Duration STORE_CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration STORE_IDLE_TIMEOUT = Duration.ofSeconds(10);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(PEER_THREADS, NioIoHandler.newFactory());
    private final ServerDirectory servers = new ServerDirectory();
    private final HttpKeyValueStore store;
    private final PeerLinks links;
    private final PacketSocket<MemberPacket> socket;
    private final MemberDuty memberDuty;
    private final TableDuty tableDuty;
    private final RecordDuty recordDuty;
    private final ScheduleDuty scheduleDuty;
    private final HealthDuty healthDuty;
    private final Option<VmListPoller> vmList;
    private final HttpDaemon http;

    /**
     * Starts a daemon.
     *
     * @param drain starts the planned stop of this process when an operator requests it
     * @throws RuntimeException if an address can't be bound
     */
    public FleetDaemon(DaemonSettings settings, FleetSettings fleet, Runnable drain) {
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(fleet, "fleet");
        long seed = settings.seed() != 0
                ? settings.seed()
                : ThreadLocalRandom.current().nextLong();
        SplittableRandom random = new SplittableRandom(seed);
        long nowNanos = System.nanoTime();
        Member self = createSelf(settings, fleet);
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        ServingGate gate = new ServingGate();
        PeerCounters counters = new PeerCounters(registry);
        links = new PeerLinks(group, self.incarnation(), counters);
        socket = new PacketSocket<>(group, counters, MemberPacket.parser());
        MemberDirectory directory = new MemberDirectory(self);
        store = new HttpKeyValueStore(
                fleet.storeEndpoints(), STORE_CALL_TIMEOUT, STORE_IDLE_TIMEOUT, new Random(random.nextLong()));
        memberDuty = new MemberDuty(
                new MemberList(MemberSettings.standard(), self, fleet.seeds(), random.split(), nowNanos),
                directory,
                socket,
                registry);
        tableDuty = new TableDuty(
                new GossipTableDistribution(self, random.split(), nowNanos),
                new OwnerMap(),
                links,
                new TableReader(new TableStore(store, new Random(random.nextLong())), registry),
                gate,
                memberDuty::advertise,
                registry);
        TableCatalog catalog = new TableCatalog();
        scheduleDuty =
                new ScheduleDuty(directory, servers, links, random.split(), settings.scheduleRingCapacity(), registry);
        healthDuty = new HealthDuty(
                directory, servers, links, scheduleDuty, random.split(), settings.scheduleRingCapacity(), registry);
        tableDuty.addListener(catalog);
        tableDuty.addListener(table -> scheduleDuty.changeTable(table.table()));
        tableDuty.addListener(table -> healthDuty.changeTable(table.table()));
        directory.addListener(tableDuty);
        memberDuty.addBeaconListener(tableDuty);
        recordDuty = new RecordDuty(directory, links, ExecutionLimits.standard(), random.split(), registry);
        memberDuty.addActivityListener(recordDuty::extendActivity);
        FrameRouter router = new FrameRouter(registry);
        tableDuty.register(router);
        recordDuty.register(router);
        scheduleDuty.register(router);
        healthDuty.register(router);
        vmList = fleet.vmList()
                .map(address -> new VmListPoller(address, servers, memberDuty::updateDaemonAddresses, registry));
        FleetStatus status = new FleetStatus(directory, catalog, tableDuty, gate);
        Map<String, Endpoint> endpoints = new HashMap<>(recordDuty.endpoints());
        RequestIdSource requestIds = new RequestIdSource(self.incarnation());
        RequestHistory history = new RequestHistory(RequestHistory.STANDARD_ENTRIES);
        endpoints.putAll(new OperatorEndpoints(
                        self.daemon(), healthDuty, status, new RequestExplainer(requestIds, history), drain)
                .byPath());
        DaemonParts parts = new DaemonParts(
                registry,
                gate,
                self.incarnation(),
                catalog,
                scheduleDuty,
                port -> new MemberAddressBook(directory, gate),
                Option.some(recordDuty),
                healthDuty,
                healthDuty,
                requestIds,
                history,
                endpoints);
        links.bind(fleet.peerAddress().host(), fleet.peerAddress().port(), router);
        socket.bind(fleet.peerAddress().host(), fleet.peerAddress().port(), memberDuty);
        servers.publish(configuredServers(settings));
        vmList.forEach(VmListPoller::start);
        tableDuty.start();
        tableDuty.onMemberChanged(self, directory.view());
        scheduleDuty.start();
        healthDuty.start();
        recordDuty.start();
        memberDuty.start();
        http = new HttpDaemon(settings, parts);
        LOG.infof(
                "Incarnation %s of daemon %s listens for peers on %s",
                self.incarnation(), self.daemon(), fleet.peerAddress());
    }

    /** Announces the departure, drains the request path and stops all duties. */
    public void shutDown() {
        awaitAnnouncement(memberDuty.announceLeaving());
        http.shutDown();
        awaitAnnouncement(memberDuty.announceLeft());
        vmList.forEach(VmListPoller::close);
        healthDuty.close();
        recordDuty.close();
        tableDuty.close();
        memberDuty.close();
        links.close();
        socket.close();
        store.close();
        group.shutdownGracefully(0, ANNOUNCEMENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static Member createSelf(DaemonSettings settings, FleetSettings fleet) {
        long incarnation = 0;
        while (incarnation == 0) {
            incarnation = ThreadLocalRandom.current().nextLong();
        }
        return new Member(
                settings.daemon(),
                new IncarnationId(incarnation),
                0,
                MemberState.ALIVE,
                settings.zone(),
                settings.region(),
                fleet.peerAddress(),
                settings.listen().getPort(),
                0);
    }

    private static Map<ServiceId, List<ListedServer>> configuredServers(DaemonSettings settings) {
        Map<ServiceId, List<ListedServer>> listed = new HashMap<>();
        settings.services()
                .forEach((service, entry) -> listed.put(
                        service,
                        entry.servers().stream()
                                .map(server -> new ListedServer(server, false))
                                .toList()));
        return listed;
    }

    private static void awaitAnnouncement(CompletableFuture<Void> announcement) {
        try {
            announcement.get(ANNOUNCEMENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warnf("Could not announce the departure of this daemon to its peers: %s", e.getMessage());
        }
    }
}
