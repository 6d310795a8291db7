package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import org.heatherreach.protocol.peer.wire.PoolUpdate;

/**
 * Reports between the availability zones of a large fleet. A report crosses to one or two daemons of each other zone,
 * which forward it to the daemons of their zone, because bytes between zones have a price.
 *
 * <p>Invariants: a fleet with at most {@link #MAX_DIRECT_PEERS} daemons in other zones forwards nothing; a forwarded
 * report is not forwarded again; requests for quota and grants are never forwarded, because they concern their receiver
 * only; a numbered report is applied once.
 *
 * <p>Thread safety: safe for use by any thread; the methods do not block.
 */
final class ZoneForwarding {
    /** With more daemons in other zones, not every one of them is sent each report. */
    static final int MAX_DIRECT_PEERS = 64;
    /**
     * Bounds what forwarding costs a daemon in a large zone, as {@link #MAX_DIRECT_PEERS} bounds direct reports: with 880
     * daemons in three zones, each sends 50 load reports a second instead of 229.
     */
    static final int MAX_FORWARDED = 64;
    /** A load report that is lost is followed by another one. */
    static final int LOAD_COPIES = 1;
    /** A failure, crash or clearing is reported once, so it has to survive the loss of a datagram or of its receiver. */
    static final int EVENT_COPIES = 2;
    /** Several times as many as a fleet of 880 daemons sends within the time between two copies. */
    private static final int MAX_KNOWN_REPORTS = 2_000;

    private final DaemonRegistry registry;
    private final BiConsumer<PoolUpdate, InetSocketAddress> socket;
    private final RandomGenerator random;
    private final Counter forwarded;
    private final Counter copies;
    private final Map<Report, Boolean> knownReports = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Report, Boolean> eldest) {
            return size() > MAX_KNOWN_REPORTS;
        }
    };
    private int lastNumber;

    /** A numbered report of a daemon. */
    private record Report(long sender, int number) {}

    /**
     * Creates an instance.
     *
     * @param registry lists the daemons
     * @param socket sends a datagram
     * @param random draws the daemons that forward a report
     * @param meters counts the forwarded datagrams and the copies that were dropped
     */
    ZoneForwarding(
            DaemonRegistry registry,
            BiConsumer<PoolUpdate, InetSocketAddress> socket,
            RandomGenerator random,
            MeterRegistry meters) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.socket = Objects.requireNonNull(socket, "socket");
        this.random = Objects.requireNonNull(random, "random");
        this.forwarded = meters.counter("heatherreach.reports.forwarded");
        this.copies = meters.counter("heatherreach.reports.copies.dropped");
        this.lastNumber = random.nextInt();
    }

    /**
     * Sends a report to a few daemons of each other zone, which forward it.
     *
     * @param packets the datagrams of the report
     * @param receiversPerZone the number of daemons of each zone that receive it
     * @return false if the other zones have so few daemons that each of them is to be sent the report directly
     */
    boolean sendAcross(List<PoolUpdate> packets, int receiversPerZone) {
        Collection<List<InetSocketAddress>> zones = registry.otherZones().values();
        if (zones.stream().mapToInt(List::size).sum() <= MAX_DIRECT_PEERS) {
            return false;
        }
        List<InetSocketAddress> receivers = new ArrayList<>();
        zones.forEach(zone -> receivers.addAll(draw(zone, receiversPerZone)));
        int number = receiversPerZone > 1 ? nextNumber() : 0;
        for (PoolUpdate packet : packets) {
            PoolUpdate marked =
                    packet.toBuilder().setForward(true).setForwardNumber(number).build();
            receivers.forEach(receiver -> socket.accept(marked, receiver));
        }
        return true;
    }

    /** Forwards a received report to daemons of this zone if its sender asks for it. */
    void forwardIfAsked(PoolUpdate update) {
        if (!update.getForward()) {
            return;
        }
        PoolUpdate marked = update.toBuilder()
                .setForward(false)
                .clearQuotaRequests()
                .clearQuotaGrants()
                .build();
        List<InetSocketAddress> zone = registry.peers().stream()
                .filter(DaemonRegistry.Peer::sameZone)
                .map(DaemonRegistry.Peer::address)
                .toList();
        draw(zone, MAX_FORWARDED).forEach(peer -> {
            forwarded.increment();
            socket.accept(marked, peer);
        });
    }

    /** Returns whether another copy of a report was received before; remembers the report. */
    synchronized boolean isCopy(PoolUpdate update) {
        if (update.getForwardNumber() == 0) {
            return false;
        }
        boolean known =
                knownReports.putIfAbsent(new Report(update.getSender(), update.getForwardNumber()), true) != null;
        if (known) {
            copies.increment();
        }
        return known;
    }

    /**
     * Returns the address of the daemon that made a report; empty if the report was forwarded and the daemon is not
     * listed.
     */
    Option<InetSocketAddress> origin(PoolUpdate update, InetSocketAddress from) {
        boolean wasForwarded = update.hasForward() && !update.getForward();
        return wasForwarded ? registry.peerAddress(update.getSender()) : Option.some(from);
    }

    private synchronized List<InetSocketAddress> draw(List<InetSocketAddress> zone, int count) {
        List<InetSocketAddress> drawn = new ArrayList<>(zone);
        int limit = Math.min(count, drawn.size());
        for (int i = 0; i < limit; i++) {
            Collections.swap(drawn, i, i + random.nextInt(drawn.size() - i));
        }
        return drawn.subList(0, limit);
    }

    private synchronized int nextNumber() {
        lastNumber = lastNumber == -1 ? 1 : lastNumber + 1;
        return lastNumber;
    }
}
