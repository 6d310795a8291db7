package org.heatherreach.protocol.kv;

import java.util.Objects;

import org.heatherreach.state.store.StoreRevision;

/** An event that a watch reports. Immutable, except that values are not copied. */
public sealed interface WatchEvent {
    /** Returns the revision of the store that the event belongs to. */
    StoreRevision revision();

    /**
     * A key was set.
     *
     * @param entry the key with its value
     */
    record Put(KeyValue entry) implements WatchEvent {
        /** Creates an event. */
        public Put {
            Objects.requireNonNull(entry, "entry");
        }

        @Override
        public StoreRevision revision() {
            return entry.revision();
        }
    }

    /**
     * A key was deleted, by a request or by the end of its lease.
     *
     * @param key the key
     * @param revision the revision of the deletion
     */
    record Deleted(String key, StoreRevision revision) implements WatchEvent {
        /** Creates an event of a service without eras. */
        public Deleted(String key, long revision) {
            this(key, StoreRevision.of(revision));
        }
    }

    /**
     * Every change up to the revision has been reported.
     *
     * @param revision the revision of the store
     */
    record Current(StoreRevision revision) implements WatchEvent {
        /** Creates an event of a service without eras. */
        public Current(long revision) {
            this(StoreRevision.of(revision));
        }
    }

    /**
     * The store no longer keeps the changes up to the revision, so some may not have been reported, or the revision belongs
     * to an earlier era. The receiver has to read the keys again.
     *
     * @param revision the last revision that the store no longer keeps
     */
    record Compacted(StoreRevision revision) implements WatchEvent {
        /** Creates an event of a service without eras. */
        public Compacted(long revision) {
            this(StoreRevision.of(revision));
        }
    }
}
