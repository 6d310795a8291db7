package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.heatherreach.coordination.watch.WatchMonitor;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyValueStore;
import org.jboss.logging.Logger;

/**
 * How far this daemon has read the store, beside how far its peers have. If it stays behind them, the store client has to
 * use new connections.
 *
 * <p>Invariants: the age of the view is the time since the last confirmation by the store, not since the last change; the
 * era of the revision never decreases, and each rise is logged once.
 *
 * <p>Thread safety: safe for use by any thread; the store client is called without a lock.
 */
final class StoreView {
    private static final Logger LOG = Logger.getLogger(StoreView.class);
    /**
     * The share of the time within which a change has to be in force that this daemon may read it later than its peers.
     * A pause between two polls fits into it, and in the rest a peer reads and reports the change.
     */
    private static final double TOLERANCE_SHARE = 0.35;

    private final KeyValueStore store;
    private final LongSupplier nanoClock;
    private final WatchMonitor monitor;
    private volatile StoreRevision revision = StoreRevision.NONE;
    private volatile long confirmationNanos;

    /**
     * Creates a view of revision 0.
     *
     * @param store the client that follows the store
     * @param changeBoundMillis within which time a change has to be in force
     * @param nanoClock the monotonic clock
     */
    StoreView(KeyValueStore store, long changeBoundMillis, LongSupplier nanoClock) {
        this.store = Objects.requireNonNull(store, "store");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.monitor = new WatchMonitor((long) (TimeUnit.MILLISECONDS.toNanos(changeBoundMillis) * TOLERANCE_SHARE));
        this.confirmationNanos = nanoClock.getAsLong();
    }

    /** Records that the store has responded and every change up to this revision has been read, if not applied. */
    void recordRead(StoreRevision currentRevision) {
        synchronized (monitor) {
            monitor.recordOwnRevision(currentRevision, nanoClock.getAsLong());
        }
    }

    /** Records that the store has responded and every change up to this revision has been applied. */
    void confirm(StoreRevision currentRevision) {
        StoreRevision known = revision;
        if (known.isOfLaterEraThan(currentRevision)) {
            return;
        }
        if (currentRevision.isOfLaterEraThan(known) && !known.equals(StoreRevision.NONE)) {
            LOG.warnf(
                    "dependency=store state=era-changed era=%d revision=%d previous=%s",
                    currentRevision.era(), currentRevision.revision(), known);
        }
        revision = currentRevision;
        confirmationNanos = nanoClock.getAsLong();
        recordRead(currentRevision);
    }

    /** Records the revision that another daemon has read; revision 0 if it has read none. */
    void recordPeerRevision(StoreRevision reportedRevision) {
        synchronized (monitor) {
            monitor.recordPeerRevision(reportedRevision, nanoClock.getAsLong());
        }
    }

    /** Makes the store client use new connections if this daemon has not read in time what its peers have. */
    void reconnectIfBehind() {
        StoreRevision peersRevision;
        synchronized (monitor) {
            if (!monitor.restartIfDue(nanoClock.getAsLong())) {
                return;
            }
            peersRevision = monitor.peerRevision();
        }
        LOG.warnf(
                "dependency=store state=behind revision=%s peers-revision=%s age-ms=%d",
                revision, peersRevision, TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - confirmationNanos));
        store.reconnect();
    }

    /** Returns the revision up to which every change has been applied; that of no change before the first full read. */
    StoreRevision revision() {
        return revision;
    }

    /** Returns the newest revision that another daemon has read. */
    StoreRevision peerRevision() {
        synchronized (monitor) {
            return monitor.peerRevision();
        }
    }

    /** Returns the era of the store in which every change has been applied; 0 before the first full read. */
    long era() {
        return revision.era();
    }

    /** Returns the time since the store last confirmed the revision, or since the start. */
    double ageSeconds() {
        return (double) (nanoClock.getAsLong() - confirmationNanos) / TimeUnit.SECONDS.toNanos(1);
    }
}
