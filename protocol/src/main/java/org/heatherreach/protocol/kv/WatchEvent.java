package org.heatherreach.protocol.kv;

import java.util.Objects;

/** An event that a watch reports. Immutable, except that values are not copied. */
public sealed interface WatchEvent {
    /** Returns the revision of the store that the event belongs to. */
    long revision();

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
        public long revision() {
            return entry.modRevision();
        }
    }

    /**
     * A key was deleted, by a request or by the end of its lease.
     *
     * @param key the key
     * @param revision the revision of the deletion
     */
    record Deleted(String key, long revision) implements WatchEvent {}

    /**
     * Every change up to the revision has been reported.
     *
     * @param revision the revision of the store
     */
    record Current(long revision) implements WatchEvent {}

    /**
     * The store no longer keeps the changes up to the revision, so some may not have been reported. The receiver has to
     * read the keys again.
     *
     * @param revision the last revision that the store no longer keeps
     */
    record Compacted(long revision) implements WatchEvent {}
}
