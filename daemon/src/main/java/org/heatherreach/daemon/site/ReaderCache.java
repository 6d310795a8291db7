package org.heatherreach.daemon.site;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.protobuf.UnsafeByteOperations;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.protocol.peer.wire.ReaderResponse;
import org.heatherreach.protocol.peer.wire.StoredKey;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyValueError;

/**
 * The keys of the store as a reader of an availability zone has read them, and the latest changes.
 *
 * <p>Invariants: nothing is kept unless this daemon is a reader; the changes of a poll become visible together with its
 * revision; at most {@link #MAX_CHANGES} changes with {@link #MAX_CHANGE_BYTES} are kept, and a response has all changes
 * since a revision or says that it has not; the revision never decreases while the daemon stays a reader.
 *
 * <p>Thread safety: the methods are synchronized; the observer is called without a lock.
 */
final class ReaderCache {
    /** Changes of about a minute in a large fleet; a follower that lacks more reads all keys again. */
    static final int MAX_CHANGES = 2_000;

    static final int MAX_CHANGE_BYTES = 2 * 1024 * 1024;

    private final LongSupplier nanoClock;
    private final Runnable observer;
    private final Map<String, KeyValue> keys = new HashMap<>();
    /** In the order of the store, so by revision. */
    private final Deque<WatchEvent> changes = new ArrayDeque<>();
    /** The changes of a poll whose revision is not known yet. */
    private final List<WatchEvent> pending = new ArrayList<>();

    private volatile boolean active;
    private boolean loaded;
    private boolean storeFailing;
    private long keyBytes;
    private long changeBytes;
    private StoreRevision revision = StoreRevision.NONE;
    /** The changes after this revision are kept. */
    private StoreRevision keptAfter = StoreRevision.NONE;

    private long confirmationNanos;

    /**
     * Creates an empty cache that keeps nothing.
     *
     * @param nanoClock the monotonic clock
     * @param observer is told of each confirmation or failure of the store while the keys are kept
     */
    ReaderCache(LongSupplier nanoClock, Runnable observer) {
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** Keeps the keys from the next full read on. */
    synchronized void begin() {
        active = true;
    }

    /** Drops all keys and keeps none any longer. */
    void end() {
        synchronized (this) {
            active = false;
            loaded = false;
            keys.clear();
            keyBytes = 0;
            clearChanges();
        }
        observer.run();
    }

    /** Returns whether all keys are kept. */
    synchronized boolean isLoaded() {
        return loaded;
    }

    /** Handles a full read of the store. */
    void replace(Either<KeyValueError, RangeResult> read) {
        if (!active) {
            return;
        }
        synchronized (this) {
            if (read.isLeft()) {
                storeFailing = true;
            } else if (!loaded || !revision.isAfter(read.get().revision())) {
                keys.clear();
                keyBytes = 0;
                read.get().values().forEach(this::putKey);
                clearChanges();
                keptAfter = read.get().revision();
                confirm(read.get().revision());
                loaded = true;
            }
        }
        observer.run();
    }

    /** Handles an event of the watch of the store. */
    void apply(Either<KeyValueError, WatchEvent> event) {
        if (!active) {
            return;
        }
        boolean endsPoll = true;
        synchronized (this) {
            if (event.isLeft()) {
                storeFailing = true;
            } else if (event.get() instanceof WatchEvent.Current current) {
                commit(current.revision());
            } else if (event.get() instanceof WatchEvent.Compacted) {
                pending.clear();
            } else {
                endsPoll = false;
                pending.add(event.get());
            }
        }
        if (endsPoll) {
            observer.run();
        }
    }

    /** Returns when the store last confirmed the revision. */
    synchronized long confirmationNanos() {
        return confirmationNanos;
    }

    /** Returns whether a follower with this revision has to be answered without waiting. */
    synchronized boolean hasNews(StoreRevision after) {
        return !loaded || storeFailing || revision.isAfter(after);
    }

    /**
     * Returns all keys; empty if they are not kept, or the store fails.
     *
     * @param maxBytes if the keys and values have more bytes, the result is empty
     */
    synchronized Option<ReaderResponse.Builder> allKeys(long maxBytes) {
        if (!loaded || storeFailing || keyBytes > maxBytes) {
            return Option.none();
        }
        ReaderResponse.Builder response = header();
        keys.values().forEach(entry -> response.addKeys(encode(entry)));
        return Option.some(response);
    }

    /**
     * Returns the changes after a revision; empty if no keys are kept.
     *
     * @param maxBytes if the changes have more bytes, the result is empty
     */
    synchronized Option<ReaderResponse.Builder> changesAfter(StoreRevision after, long maxBytes) {
        if (!loaded) {
            return Option.none();
        }
        ReaderResponse.Builder response = header();
        boolean isEarlier = revision.isAfter(after);
        if (isEarlier && (after.era() != revision.era() || keptAfter.isAfter(after))) {
            response.setReadAll(true);
        } else if (isEarlier) {
            List<WatchEvent> missing = missingAfter(after);
            if (missing.stream().mapToLong(ReaderCache::sizeBytes).sum() > maxBytes) {
                return Option.none();
            }
            missing.forEach(change -> response.addKeys(encode(change)));
        }
        return Option.some(response);
    }

    /** Returns the changes after a revision in their order. Most followers lack the latest few only. */
    private List<WatchEvent> missingAfter(StoreRevision after) {
        List<WatchEvent> missing = new ArrayList<>();
        Iterator<WatchEvent> latestFirst = changes.descendingIterator();
        while (latestFirst.hasNext()) {
            WatchEvent change = latestFirst.next();
            if (!change.revision().isAfter(after)) {
                break;
            }
            missing.add(change);
        }
        Collections.reverse(missing);
        return missing;
    }

    private void commit(StoreRevision current) {
        if (!loaded || current.era() != revision.era()) {
            pending.clear();
            return;
        }
        for (WatchEvent change : pending) {
            if (change.revision().isAfter(revision)) {
                keep(change);
            }
        }
        pending.clear();
        confirm(current.isAfter(revision) ? current : revision);
    }

    private void keep(WatchEvent change) {
        if (change instanceof WatchEvent.Put put) {
            putKey(put.entry());
        } else if (change instanceof WatchEvent.Deleted deleted) {
            keyBytes -= sizeBytes(keys.remove(deleted.key()));
        }
        changes.add(change);
        changeBytes += sizeBytes(change);
        while (changes.size() > MAX_CHANGES || changeBytes > MAX_CHANGE_BYTES) {
            WatchEvent dropped = changes.remove();
            changeBytes -= sizeBytes(dropped);
            keptAfter = dropped.revision();
        }
    }

    private void putKey(KeyValue entry) {
        keyBytes += sizeBytes(entry) - sizeBytes(keys.put(entry.key(), entry));
    }

    private void confirm(StoreRevision confirmed) {
        revision = confirmed;
        confirmationNanos = nanoClock.getAsLong();
        storeFailing = false;
    }

    private void clearChanges() {
        changes.clear();
        pending.clear();
        changeBytes = 0;
    }

    private ReaderResponse.Builder header() {
        long ageNanos = nanoClock.getAsLong() - confirmationNanos;
        return ReaderResponse.newBuilder()
                .setEra(revision.era())
                .setRevision(revision.revision())
                // Rounded up, because a confirmation must not seem newer than it is.
                .setAgeMs((int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(ageNanos) + 1))
                .setStoreFailing(storeFailing);
    }

    private static int sizeBytes(WatchEvent change) {
        return change instanceof WatchEvent.Put put
                ? sizeBytes(put.entry())
                : ((WatchEvent.Deleted) change).key().length();
    }

    private static int sizeBytes(KeyValue entry) {
        return entry == null ? 0 : entry.key().length() + entry.value().length;
    }

    private static StoredKey encode(WatchEvent change) {
        return change instanceof WatchEvent.Put put
                ? encode(put.entry())
                : StoredKey.newBuilder()
                        .setKey(((WatchEvent.Deleted) change).key())
                        .setModRevision(change.revision().revision())
                        .setDeleted(true)
                        .build();
    }

    private static StoredKey encode(KeyValue entry) {
        return StoredKey.newBuilder()
                .setKey(entry.key())
                // Neither side changes a value.
                .setValue(UnsafeByteOperations.unsafeWrap(entry.value()))
                .setCreateRevision(entry.createRevision())
                .setModRevision(entry.modRevision())
                .setVersion(entry.version())
                .setLease(entry.leaseId())
                .build();
    }
}
