package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.http.BackendServer;
import org.heatherreach.transport.http.PooledServer;
import org.jboss.logging.Logger;

/**
 * The registry of the backend servers, which register themselves in the store.
 *
 * <p>Invariants: a server that registered as leaving is not offered again in the same incarnation; a registration that
 * can have expired in an outage of the store stays in use until its server has had time to register again; one that
 * ended at any other time, or that was marked as leaving, is removed at once; a registration that ended is not used again
 * because the store came back from a copy that lists it; a change stays unpublished until the sink
 * has received it, also if applying it or another change fails.
 *
 * <p>Thread safety: the methods are synchronized; the sink is called within them and must not block.
 */
public final class ServerRegistry extends FollowedKeys {
    private static final Logger LOG = Logger.getLogger(ServerRegistry.class);
    /** A registration expires only after its server could not reach the store for three heartbeats. */
    private static final long MIN_OUTAGE_MILLIS = 2000;
    /** Live servers register again within two seconds after the store is available again. */
    private static final long REREGISTRATION_MILLIS = 2100;
    /** A server that has left must get no requests three seconds after the store is available again. */
    private static final long REREGISTRATION_LIMIT_MILLIS = 2800;

    private static final ReregistrationTerms REREGISTRATION =
            ReregistrationTerms.ofMillis(MIN_OUTAGE_MILLIS, REREGISTRATION_MILLIS, REREGISTRATION_LIMIT_MILLIS);

    private final SiteCodec codec;
    private final Sink sink;
    private final LongSupplier nanoClock;
    private final Map<String, Entry> entries = new HashMap<>();
    private final RemovedEntries removed = new RemovedEntries();
    private final Map<String, String> readErrorsByKey = new HashMap<>();
    /** The services whose servers have changed since the sink received them. */
    private final Set<ServiceId> unpublished = new HashSet<>();

    private boolean loaded;

    /** Receives the servers of a service whenever they change. */
    @FunctionalInterface
    public interface Sink {
        /** Replaces the servers of a service; the list has every server that may get requests. */
        void replaceServers(ServiceId service, List<PooledServer> servers);
    }

    /**
     * Creates an empty registry.
     *
     * @param codec parses registrations
     * @param sink receives changes
     * @param nanoClock the monotonic clock
     */
    public ServerRegistry(SiteCodec codec, Sink sink, LongSupplier nanoClock) {
        super("servers", REREGISTRATION, nanoClock);
        this.codec = Objects.requireNonNull(codec, "codec");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
    }

    @Override
    void applyAll(RangeResult all) {
        Set<String> missing = new HashSet<>(entries.keySet());
        for (KeyValue value : all.values()) {
            if (applyUnpublished(value, true)) {
                missing.remove(value.key());
            }
        }
        missing.forEach(key -> removeUnpublished(key, all.revision()));
        readErrorsByKey
                .keySet()
                .retainAll(all.values().stream().map(KeyValue::key).collect(Collectors.toSet()));
        loaded = true;
        publish();
    }

    @Override
    void apply(KeyValue value) {
        applyUnpublished(value, false);
        publish();
    }

    @Override
    void applyDeletion(String key, StoreRevision revision) {
        readErrorsByKey.remove(key);
        removeUnpublished(key, revision);
        publish();
    }

    /** Removes expired registrations once their servers have had time to register again. Called about every 100 ms. */
    public synchronized void removeExpired() {
        if (!mayReregister()) {
            List<String> expired = entries.entrySet().stream()
                    .filter(entry -> entry.getValue().removal.isDefined())
                    .map(Map.Entry::getKey)
                    .toList();
            expired.forEach(this::removeExpiredEntry);
        }
        publish();
    }

    private void removeExpiredEntry(String key) {
        Entry entry = entries.remove(key);
        SiteServer server = entry.server;
        unpublished.add(server.service());
        recordRemoval(key, entry, entry.removal.get());
        LOG.infof(
                "server=%s state=gone reason=not-registered-again",
                server.server().id());
    }

    /** Returns the address of a server; empty if it is not registered. */
    synchronized Option<InetSocketAddress> address(ServerId server) {
        return Option.ofOptional(entries.values().stream()
                .map(entry -> entry.server.server())
                .filter(known -> known.id().equals(server))
                .map(BackendServer::address)
                .findFirst());
    }

    /** Returns how many registrations in the store can't be read and are skipped. */
    public synchronized int skippedCount() {
        return readErrorsByKey.size();
    }

    /** Returns whether the registrations have been read from the store at least once. */
    public synchronized boolean isLoaded() {
        return loaded;
    }

    /**
     * Applies a registration without publishing it.
     *
     * @param fullRead whether it is part of a full read, so that it may be older than the store's era
     * @return false if it counts as missing, because it had ended before the store came back from a copy
     */
    private boolean applyUnpublished(KeyValue value, boolean fullRead) {
        Entry known = entries.get(value.key());
        if (known != null && !value.revision().isAfter(known.revision)) {
            return true;
        }
        Either<String, SiteServer> read = codec.readServer(value);
        if (read.isLeft()) {
            if (!read.getLeft().equals(readErrorsByKey.put(value.key(), read.getLeft()))) {
                LOG.warnf("registration=%s state=skipped reason=\"%s\"", value.key(), read.getLeft());
            }
            removeUnpublished(value.key(), value.revision());
            return true;
        }
        readErrorsByKey.remove(value.key());
        SiteServer server = read.get();
        if (hasEnded(value, server, fullRead)) {
            LOG.infof(
                    "server=%s state=skipped reason=ended-before-the-copy-was-restored revision=%s",
                    server.server().id(), value.revision());
            return false;
        }
        removed.forget(value.key(), server.incarnation());
        if (known != null && known.server.incarnation() != server.incarnation()) {
            recordRemoval(value.key(), known, value.revision());
        }
        boolean alreadyLeaving = known != null
                && known.server.leaving()
                && known.server.incarnation() == server.incarnation()
                && !server.leaving();
        Entry entry = new Entry(
                alreadyLeaving ? known.server : server, value.revision(), warmUntilNanos(known, server, value));
        boolean unchanged = known != null && known.removal.isEmpty() && entry.server.equalsIgnoringWarmUp(known.server);
        if (!unchanged) {
            unpublished.add(server.service());
            if (known != null) {
                unpublished.add(known.server.service());
            }
        }
        entries.put(value.key(), entry);
        if (!unchanged) {
            LOG.infof(
                    "server=%s service=%s zone=%s state=%s incarnation=%d revision=%s",
                    server.server().id(),
                    server.service(),
                    server.server().zone(),
                    entry.server.leaving() ? "leaving" : "listed",
                    server.incarnation(),
                    value.revision());
        }
        return true;
    }

    /** Returns whether a registration had ended in an earlier era, so that its server did not write it in the present era. */
    private boolean hasEnded(KeyValue value, SiteServer server, boolean fullRead) {
        return fullRead
                ? removed.isRestored(value.key(), server.incarnation(), value.revision())
                : removed.hasLeft(value.key(), server.incarnation(), value.revision());
    }

    /** Returns until when a server is cold; a copy of the store may have a registration from its cold start. */
    private long warmUntilNanos(Entry known, SiteServer server, KeyValue value) {
        boolean sameStart = known != null && known.server.incarnation() == server.incarnation();
        if (sameStart && value.revision().isOfLaterEraThan(known.revision)) {
            return known.warmUntilNanos;
        }
        return nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(server.warmUpMillis());
    }

    private void recordRemoval(String key, Entry entry, StoreRevision revision) {
        removed.record(key, entry.server.incarnation(), entry.revision, revision, entry.server.leaving());
    }

    private void removeUnpublished(String key, StoreRevision revision) {
        Entry known = entries.get(key);
        if (known == null || known.revision.isAfter(revision)) {
            return;
        }
        if (mayReregister() && !known.server.leaving()) {
            known.removal = Option.some(revision);
            return;
        }
        unpublished.add(known.server.service());
        entries.remove(key);
        recordRemoval(key, known, revision);
        LOG.infof(
                "server=%s service=%s state=gone revision=%s",
                known.server.server().id(), known.server.service(), revision);
    }

    /** Passes the changed services to the sink; one that it failed to receive is passed again by the next call. */
    private void publish() {
        for (ServiceId service : List.copyOf(unpublished)) {
            List<PooledServer> servers = new ArrayList<>();
            for (Entry entry : entries.values()) {
                if (entry.server.service().equals(service) && !entry.server.leaving()) {
                    servers.add(new PooledServer(
                            entry.server.server(),
                            entry.server.incarnation(),
                            entry.server.slots(),
                            entry.warmUntilNanos));
                }
            }
            sink.replaceServers(service, servers);
            unpublished.remove(service);
        }
    }

    /** The current registration of a server. */
    private static final class Entry {
        private final SiteServer server;
        private final StoreRevision revision;
        private final long warmUntilNanos;
        /** The revision at which it was missing, if it may have expired. */
        private Option<StoreRevision> removal = Option.none();

        private Entry(SiteServer server, StoreRevision revision, long warmUntilNanos) {
            this.server = server;
            this.revision = revision;
            this.warmUntilNanos = warmUntilNanos;
        }
    }
}
