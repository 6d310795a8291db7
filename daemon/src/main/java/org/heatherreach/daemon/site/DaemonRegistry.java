package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.peer.wire.DaemonEntry;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.http.DaemonAddress;
import org.heatherreach.transport.kv.KeyValueStore;
import org.jboss.logging.Logger;

/**
 * The registry of the daemons of the site: what the other parts of a daemon ask about its peers. {@link DaemonEntries}
 * keeps the entries of the others, {@link RegistrationState} and {@link LeaseRenewal} keep this daemon registered.
 *
 * <p>Invariants: this daemon is listed unless it is leaving, whatever the store has; the others are listed as
 * {@link DaemonEntries} says.
 *
 * <p>Thread safety: the methods are synchronized and never block. The monitor of the registry also guards its parts.
 */
public final class DaemonRegistry extends FollowedKeys implements AutoCloseable {
    /** The prefix of the keys of daemon registrations. */
    public static final String PREFIX = "heatherreach/daemons/";

    private static final Logger LOG = Logger.getLogger(DaemonRegistry.class);
    private static final long REREGISTRATION_MILLIS = 3000;

    private final DaemonEntry self;
    private final String ownKey;
    private final DaemonEntries entries = new DaemonEntries();
    private final RegistrationState registration = new RegistrationState(System.nanoTime());
    private final LeaseRenewal renewal;
    private boolean loaded;
    /** What follows from the entries; null after a change, since reports ask for it far more often than it changes. */
    private DaemonLists lists;
    /** The change of the entries from which the lists were computed. */
    private long listedChangeCount;

    /**
     * Creates a registry that contains only this daemon.
     *
     * @param store the store
     * @param self the entry of this daemon
     */
    public DaemonRegistry(KeyValueStore store, DaemonEntry self) {
        super("daemons", ReregistrationTerms.afterAnyOutage(REREGISTRATION_MILLIS), System::nanoTime);
        this.self = Objects.requireNonNull(self, "self");
        this.ownKey = PREFIX + self.getName();
        this.renewal = new LeaseRenewal(store, registration, this, self, ownKey);
    }

    /** Registers this daemon and keeps it registered until {@link #close}. */
    public void start() {
        renewal.start();
    }

    /** Marks the entry of this daemon as leaving, so that no daemon lists it any longer. */
    public void leave() {
        synchronized (this) {
            registration.leave();
            lists = null;
        }
        renewal.renewNow();
    }

    /** Stops the renewal and revokes the lease, which deletes the entry of this daemon. */
    @Override
    public void close() {
        renewal.close();
    }

    /** Returns the daemons that callers in a zone may use: those in the zone, or all daemons if the zone has none. */
    public synchronized List<DaemonAddress> addresses(String zone) {
        List<DaemonEntry> listed = listed();
        List<DaemonEntry> inZone =
                listed.stream().filter(entry -> entry.getZone().equals(zone)).toList();
        return (inZone.isEmpty() ? listed : inZone)
                .stream()
                        .map(entry -> new DaemonAddress(
                                new DaemonId(entry.getName()),
                                entry.getHost(),
                                entry.getFrontPort(),
                                new ZoneId(entry.getZone())))
                        .toList();
    }

    /** Returns the datagram addresses of the other daemons; those in the zone of this daemon come first. */
    public synchronized List<Peer> peers() {
        return listedDaemons().peers();
    }

    /** Returns the datagram addresses of the listed daemons of the other zones, by zone. */
    public synchronized Map<ZoneId, List<InetSocketAddress>> otherZones() {
        return listedDaemons().otherZones();
    }

    /** Returns the datagram address of a listed daemon; empty if no other daemon has this incarnation. */
    public synchronized Option<InetSocketAddress> peerAddress(long incarnation) {
        return Option.ofOptional(listed().stream()
                .filter(entry -> entry.getIncarnation() == incarnation
                        && !entry.getName().equals(self.getName()))
                .findFirst()
                .map(entry -> new InetSocketAddress(entry.getHost(), entry.getPeerPort())));
    }

    /** Returns the listed daemon with this datagram address; empty if no other daemon has it. */
    public synchronized Option<Peer> peer(InetSocketAddress address) {
        // The ports are compared first, because an address is costly to parse and peers report often.
        return Option.ofOptional(listed().stream()
                .filter(entry -> entry.getPeerPort() == address.getPort() && entry != self)
                .map(entry -> Peer.of(entry, self))
                .filter(peer -> peer.address().equals(address))
                .findFirst());
    }

    /**
     * Returns the number of entries of other daemons, including those that are leaving or that expired in an outage.
     *
     * @param sameZone whether to count the daemons in the zone of this one; otherwise those in other zones
     */
    public synchronized int peerCount(boolean sameZone) {
        return currentLists().peerCount(sameZone);
    }

    /** Returns the lease of this daemon; empty while it is not known to be valid. */
    public synchronized Option<ValidLease> lease(long nowNanos) {
        return registration.lease(nowNanos);
    }

    /** Returns the entry of this daemon. */
    public DaemonEntry selfEntry() {
        return self;
    }

    /** Returns all listed daemons, including this one unless it is leaving. */
    public synchronized List<DaemonId> daemons() {
        return listed().stream().map(entry -> new DaemonId(entry.getName())).toList();
    }

    /** Returns the id of this daemon. */
    public DaemonId self() {
        return new DaemonId(self.getName());
    }

    /** Returns the incarnation of this daemon. */
    public long incarnation() {
        return self.getIncarnation();
    }

    /** Returns the listed daemons in the zone of this daemon in a fixed order; this daemon unless it is leaving. */
    public synchronized List<DaemonId> zoneDaemons() {
        return listedDaemons().zoneDaemons();
    }

    /** Returns the datagram addresses of the daemons of {@link #zoneDaemons}, in their order. */
    public synchronized Map<DaemonId, InetSocketAddress> zoneAddresses() {
        Map<DaemonId, InetSocketAddress> addresses = new TreeMap<>();
        listed().stream()
                .filter(entry -> entry.getZone().equals(self.getZone()))
                .forEach(entry -> addresses.put(
                        new DaemonId(entry.getName()), new InetSocketAddress(entry.getHost(), entry.getPeerPort())));
        return addresses;
    }

    /** Returns whether the entries have been read from the store at least once. */
    public synchronized boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns the share of the listed daemons that are in the zone of this daemon; counts at least one daemon in the
     * zone.
     */
    public synchronized double zoneShare() {
        List<DaemonEntry> listed = listed();
        long inZone = listed.stream()
                .filter(entry -> entry.getZone().equals(self.getZone()))
                .count();
        return (double) Math.max(1, inZone) / Math.max(1, listed.size());
    }

    @Override
    void applyAll(RangeResult all) {
        registration.setRegistered(all.values().stream().anyMatch(value -> isOwn(value.key())));
        List<KeyValue> others =
                all.values().stream().filter(value -> !isOwn(value.key())).toList();
        entries.replace(others, all.revision(), mayReregister());
        loaded = true;
    }

    @Override
    void beginEra() {
        registration.doubtLease(System.nanoTime());
        renewal.renewSoon();
    }

    @Override
    void apply(KeyValue value) {
        if (isOwn(value.key())) {
            registration.setRegistered(true);
        } else {
            entries.put(value);
        }
    }

    @Override
    void applyDeletion(String key, StoreRevision revision) {
        if (!isOwn(key)) {
            entries.delete(key, revision, mayReregister());
            return;
        }
        registration.setRegistered(false);
        if (!registration.isLeaving()) {
            LOG.warnf("daemon=%s state=unregistered, registering again", self.getName());
        }
    }

    private boolean isOwn(String key) {
        return key.equals(ownKey);
    }

    private List<DaemonEntry> listed() {
        return listedDaemons().listed();
    }

    /** Returns the lists without the entries that can no longer be written again after an outage. */
    private DaemonLists listedDaemons() {
        if (!mayReregister()) {
            entries.removeExpired();
        }
        return currentLists();
    }

    private DaemonLists currentLists() {
        if (lists == null || listedChangeCount != entries.changeCount()) {
            lists = new DaemonLists(self, registration.isLeaving(), entries.all());
            listedChangeCount = entries.changeCount();
        }
        return lists;
    }

    /**
     * Another daemon of the site.
     *
     * @param address the address that receives its datagrams
     * @param sameZone whether it is in the zone of this daemon
     */
    public record Peer(InetSocketAddress address, boolean sameZone) {
        static Peer of(DaemonEntry entry, DaemonEntry self) {
            return new Peer(
                    new InetSocketAddress(entry.getHost(), entry.getPeerPort()),
                    entry.getZone().equals(self.getZone()));
        }
    }

    /**
     * A lease in the store.
     *
     * @param id the id of the lease
     * @param validUntilNanos until when it is known to be valid
     */
    public record ValidLease(long id, long validUntilNanos) {}
}
