package org.heatherreach.daemon.site;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.protocol.peer.wire.ReaderResponse;
import org.heatherreach.protocol.peer.wire.StoredKey;
import org.heatherreach.state.store.StoreRevision;

/**
 * The response of a reader as a follower sees it. Immutable.
 *
 * @param revision up to which revision the reader has read
 * @param confirmationNanos the latest time that the follower can be sure of at which the store has confirmed the revision
 *     to the reader
 * @param storeFailing whether the last call of the reader to the store failed
 * @param readAll whether all keys have to be read
 * @param keys all keys, or the changes
 */
record ReaderAnswer(
        StoreRevision revision, long confirmationNanos, boolean storeFailing, boolean readAll, List<StoredKey> keys) {
    /**
     * Reads a response. The reader made it no earlier than the request was sent and had waited there, so the age that it
     * states is counted from then: a response that was delayed on its way confirms nothing newer.
     *
     * @param sentNanos when the request was sent
     */
    static ReaderAnswer of(ReaderResponse response, long sentNanos) {
        return new ReaderAnswer(
                new StoreRevision(response.getEra(), response.getRevision()),
                sentNanos + TimeUnit.MILLISECONDS.toNanos((long) response.getWaitedMs() - response.getAgeMs()),
                response.getStoreFailing(),
                response.getReadAll(),
                response.getKeysList());
    }

    /** Returns the response to a full read. */
    RangeResult toRange() {
        return new RangeResult(revision, keys.stream().map(this::entry).toList());
    }

    /** Returns a change. */
    WatchEvent toChange(StoredKey key) {
        return key.getDeleted()
                ? new WatchEvent.Deleted(key.getKey(), new StoreRevision(revision.era(), key.getModRevision()))
                : new WatchEvent.Put(entry(key));
    }

    private KeyValue entry(StoredKey key) {
        return new KeyValue(
                key.getKey(),
                key.getValue().toByteArray(),
                key.getCreateRevision(),
                key.getModRevision(),
                key.getVersion(),
                key.getLease(),
                revision.era());
    }
}
