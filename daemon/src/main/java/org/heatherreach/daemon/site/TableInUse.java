package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.coordination.watch.NewerVersions;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.state.route.RoutingTable;
import org.heatherreach.state.store.StoreRevision;
import org.jboss.logging.Logger;

/**
 * The newest valid routing table that this daemon has read from the store or from a peer, and what peers say of newer
 * ones.
 *
 * <p>Invariant: the version never decreases; an invalid routing table is ignored.
 *
 * <p>Thread safety: the methods that are not those of a follower are safe for use by any thread; the follower of the
 * store calls its methods sequentially.
 */
public final class TableInUse extends FollowedKeys {
    private static final Logger LOG = Logger.getLogger(TableInUse.class);
    /** Longer than the interval between the reports of a peer, so that a lost one does not matter. */
    private static final long PEER_VERSION_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The bound of a change if the settings give none. */
    private static final long DEFAULT_BOUND_MILLIS = 2000;

    private final SiteCodec codec;
    private final long boundNanos;
    private final LongSupplier nanoClock;
    /** Guards itself. */
    private final NewerVersions newerVersions = new NewerVersions();

    private volatile Option<EncodedTable> inUse = Option.none();
    private volatile PeerVersion peerVersion;
    /** Since when a newer version has been known that this daemon does not have. */
    private volatile Option<Long> newerSinceNanos = Option.none();

    /** Creates an instance without a routing table, with the bound that holds without a setting. */
    public TableInUse(SiteCodec codec) {
        this(codec, DEFAULT_BOUND_MILLIS, System::nanoTime);
    }

    /**
     * Creates an instance without a routing table.
     *
     * @param boundMillis within which time a change of the routing table has to be in force
     * @param nanoClock the monotonic clock
     */
    public TableInUse(SiteCodec codec, long boundMillis, LongSupplier nanoClock) {
        super("table", ReregistrationTerms.NONE, nanoClock);
        this.codec = Objects.requireNonNull(codec, "codec");
        this.boundNanos = TimeUnit.MILLISECONDS.toNanos(boundMillis);
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.peerVersion = new PeerVersion(0, nanoClock.getAsLong());
    }

    /** Returns the newest routing table; empty until one has been read. */
    public Option<RoutingTable> table() {
        return inUse.map(EncodedTable::table);
    }

    /** Returns the newest routing table with its encoded form; empty until one has been read. */
    Option<EncodedTable> encoded() {
        return inUse;
    }

    /** Returns the version of the newest routing table; 0 until one has been read. */
    long version() {
        return inUse.map(known -> known.table().version()).getOrElse(0L);
    }

    /**
     * Returns whether another daemon has reported a newer version lately or, if there are workspaces, at any time since
     * the one in use. A path without a route may then have one in the newer version.
     */
    public boolean isOutdated() {
        if (newerSinceNanos.isDefined() && hasWorkspaces()) {
            return true;
        }
        PeerVersion reported = peerVersion;
        return reported.version > version() && reported.expiryNanos - nanoClock.getAsLong() > 0;
    }

    /**
     * Returns whether this daemon has known of a newer version for longer than the time within which a change has to be
     * in force. An API key that it knows may have been removed since.
     */
    public boolean isStale() {
        return newerSinceNanos.exists(sinceNanos -> nanoClock.getAsLong() - sinceNanos > boundNanos);
    }

    /** Returns for how long a newer version has been known that is not in use; 0 if none is known. */
    double newerAgeSeconds() {
        return newerSinceNanos
                .map(sinceNanos -> (double) (nanoClock.getAsLong() - sinceNanos) / TimeUnit.SECONDS.toNanos(1))
                .getOrElse(0.0);
    }

    /** Returns whether the routing table in use has workspaces. */
    boolean hasWorkspaces() {
        return inUse.exists(known -> !known.table().workspaces().isEmpty());
    }

    /**
     * Returns whether a newer routing table may be fetched from a peer. A daemon without any table does not know whether
     * the site has workspaces, and leaves the matter to the store as long as that responds.
     */
    boolean mayFetch() {
        return inUse.isEmpty() ? isStoreFailing() : hasWorkspaces();
    }

    /** Records the version that another daemon has in use. */
    void recordPeerVersion(long version) {
        if (version > version()) {
            long nowNanos = nanoClock.getAsLong();
            peerVersion = new PeerVersion(version, nowNanos + PEER_VERSION_VALIDITY_NANOS);
            synchronized (newerVersions) {
                newerVersions.recordReport(version, nowNanos);
                newerSinceNanos = newerVersions.knownSinceNanos();
            }
        }
    }

    /**
     * Takes a routing table from a peer into use if it is valid, newer than the one in use, and has workspaces or
     * replaces one that has.
     *
     * @return the version; the left value is the reason why the table is not used
     */
    Either<String, Long> adopt(byte[] encoded, InetSocketAddress peer) {
        Either<String, RoutingTable> read = codec.readTable(encoded);
        if (read.isLeft()) {
            return Either.left(read.getLeft());
        }
        RoutingTable next = read.get();
        if (next.workspaces().isEmpty() && !hasWorkspaces()) {
            return Either.left("the routing table has no workspaces");
        }
        if (!replaceOlder(new EncodedTable(next, encoded))) {
            return Either.left("version " + next.version() + " is not newer");
        }
        LOG.infof("table version=%d peer=%s routes=%d state=in-use", next.version(), peer, next.routeCount());
        return Either.right(next.version());
    }

    @Override
    void applyUpToDate() {
        if (newerSinceNanos.isDefined()) {
            synchronized (newerVersions) {
                newerVersions.recordStoreResponse(nanoClock.getAsLong());
                newerSinceNanos = newerVersions.knownSinceNanos();
            }
        }
    }

    @Override
    void applyAll(RangeResult all) {
        all.values().forEach(this::apply);
    }

    @Override
    void applyDeletion(String key, StoreRevision revision) {
        // A routing table in force is never withdrawn, so the deletion of its key has no effect.
        LOG.warnf("table key=%s state=deleted revision=%s, keeping the routing table in use", key, revision);
    }

    @Override
    void apply(KeyValue entry) {
        if (!codec.tableKey().equals(entry.key())) {
            return;
        }
        Either<String, RoutingTable> read = codec.readTable(entry.value());
        if (read.isLeft()) {
            LOG.errorf("table revision=%s state=rejected reason=\"%s\"", entry.revision(), read.getLeft());
            return;
        }
        RoutingTable next = read.get();
        if (!replaceOlder(new EncodedTable(next, entry.value()))) {
            return;
        }
        LOG.infof(
                "table version=%d revision=%s routes=%d state=in-use",
                next.version(), entry.revision(), next.routeCount());
    }

    /** Returns whether the table is newer than the one in use, which it then replaces. */
    private boolean replaceOlder(EncodedTable next) {
        synchronized (newerVersions) {
            long version = next.table().version();
            if (inUse.exists(known -> known.table().version() >= version)) {
                return false;
            }
            inUse = Option.some(next);
            newerVersions.recordOwnVersion(version);
            newerSinceNanos = newerVersions.knownSinceNanos();
            return true;
        }
    }

    /**
     * A routing table.
     *
     * @param encoded the bytes from which it was read, which are never modified
     */
    record EncodedTable(RoutingTable table, byte[] encoded) {}

    /** A version that another daemon has in use, until the report expires. */
    private record PeerVersion(long version, long expiryNanos) {}
}
