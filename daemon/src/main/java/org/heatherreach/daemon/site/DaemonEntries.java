package org.heatherreach.daemon.site;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.util.NetUtil;
import io.vavr.control.Option;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.peer.wire.DaemonEntry;
import org.heatherreach.state.store.StoreRevision;
import org.jboss.logging.Logger;

/**
 * The registrations of the other daemons, as the changes of the store give them.
 *
 * <p>Invariants: a daemon is no longer listed once its entry is marked as leaving; an entry that ended while it may be
 * registered again stays listed until {@link #removeExpired}; an entry that ended is not listed again because a copy
 * that the store came back from has it; no change is applied over a later one; every entry has a usable address.
 *
 * <p>Thread safety: none; guarded by the caller.
 */
final class DaemonEntries {
    private static final Logger LOG = Logger.getLogger(DaemonEntries.class);
    private static final int MAX_PORT = 65_535;

    private final Map<String, Entry> entries = new HashMap<>();
    private final RemovedEntries removed = new RemovedEntries();
    /** Whether an entry may have a removal. */
    private boolean hasRemovals;

    private long changeCount;

    /**
     * Applies a full read.
     *
     * @param values all entries of other daemons
     * @param revision the revision of the read
     * @param mayReregister whether a missing daemon may still register again
     */
    void replace(List<KeyValue> values, StoreRevision revision, boolean mayReregister) {
        Map<String, Entry> missing = new HashMap<>(entries);
        for (KeyValue value : values) {
            if (apply(value, true)) {
                missing.remove(value.key());
            }
        }
        missing.keySet().forEach(key -> delete(key, revision, mayReregister));
    }

    /** Applies an entry that was written. */
    void put(KeyValue value) {
        apply(value, false);
    }

    /**
     * Applies the deletion of an entry, which may be due to the end of its lease.
     *
     * @param mayReregister whether its daemon may still register again
     */
    void delete(String key, StoreRevision revision, boolean mayReregister) {
        Entry known = entries.get(key);
        if (known == null || known.revision.isAfter(revision)) {
            return;
        }
        if (mayReregister) {
            known.removal = Option.some(revision);
            hasRemovals = true;
        } else {
            entries.remove(key);
            changeCount++;
            recordRemoval(key, known, revision);
            LOG.infof("daemon=%s state=gone", known.entry.getName());
        }
    }

    /** Removes the entries that ended and were not written again. */
    void removeExpired() {
        if (!hasRemovals) {
            return;
        }
        hasRemovals = false;
        changeCount++;
        entries.forEach((key, entry) -> entry.removal.forEach(revision -> recordRemoval(key, entry, revision)));
        entries.values().removeIf(entry -> entry.removal.isDefined());
    }

    /** Returns the entries, including those that are leaving or that ended in an outage. */
    List<DaemonEntry> all() {
        return entries.values().stream().map(entry -> entry.entry).toList();
    }

    /** Returns how often {@link #all} has changed. */
    long changeCount() {
        return changeCount;
    }

    /**
     * Checks that a daemon can be reached by its entry.
     *
     * @throws IllegalArgumentException if it has no name or zone, or an invalid address
     */
    static void checkUsable(DaemonEntry entry) {
        if (entry.getName().isBlank() || entry.getZone().isBlank()) {
            throw new IllegalArgumentException("the entry has no name or no zone");
        }
        boolean hostIsValid = NetUtil.createByteArrayFromIpAddressString(entry.getHost()) != null;
        if (!hostIsValid || !isPort(entry.getFrontPort()) || !isPort(entry.getPeerPort())) {
            throw new IllegalArgumentException("daemon " + entry.getName() + " has an invalid IP address or port");
        }
    }

    private static boolean isPort(int port) {
        return port > 0 && port <= MAX_PORT;
    }

    /**
     * Applies an entry.
     *
     * @param fullRead whether it is part of a full read, so that it may be older than the store's era
     * @return false if it counts as missing, because it had ended before the store came back from a copy
     */
    private boolean apply(KeyValue value, boolean fullRead) {
        Entry known = entries.get(value.key());
        if (known != null && !value.revision().isAfter(known.revision)) {
            return true;
        }
        try {
            DaemonEntry entry = DaemonEntry.parseFrom(value.value());
            checkUsable(entry);
            if (hasEnded(value, entry, fullRead)) {
                return false;
            }
            replaceEntry(value, known, entry);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            LOG.warnf("registration=%s state=skipped reason=\"%s\"", value.key(), e.getMessage());
        }
        return true;
    }

    /** Returns whether an entry had ended in an earlier era, so that its daemon did not write it in the present era. */
    private boolean hasEnded(KeyValue value, DaemonEntry entry, boolean fullRead) {
        return fullRead
                ? removed.isRestored(value.key(), entry.getIncarnation(), value.revision())
                : removed.hasLeft(value.key(), entry.getIncarnation(), value.revision());
    }

    private void replaceEntry(KeyValue value, Entry known, DaemonEntry entry) {
        removed.forget(value.key(), entry.getIncarnation());
        DaemonEntry next = entry;
        if (known != null && known.entry.getIncarnation() != entry.getIncarnation()) {
            recordRemoval(value.key(), known, value.revision());
        } else if (known != null && known.entry.getLeaving() && value.revision().isOfLaterEraThan(known.revision)) {
            next = known.entry;
        }
        entries.put(value.key(), new Entry(next, value.revision()));
        changeCount++;
        LOG.infof("daemon=%s state=%s", next.getName(), next.getLeaving() ? "leaving" : "listed");
    }

    private void recordRemoval(String key, Entry entry, StoreRevision revision) {
        removed.record(key, entry.entry.getIncarnation(), entry.revision, revision, entry.entry.getLeaving());
    }

    private static final class Entry {
        private final DaemonEntry entry;
        private final StoreRevision revision;
        /** The revision at which it was missing, if it may have expired. */
        private Option<StoreRevision> removal = Option.none();

        private Entry(DaemonEntry entry, StoreRevision revision) {
            this.entry = entry;
            this.revision = revision;
        }
    }
}
