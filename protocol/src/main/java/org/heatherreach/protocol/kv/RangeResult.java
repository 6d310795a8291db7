package org.heatherreach.protocol.kv;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.store.StoreRevision;

/**
 * The result of a read. Immutable.
 *
 * @param revision the revision of the store at the time of the read
 * @param values the entries found, in byte order of their keys
 */
public record RangeResult(StoreRevision revision, List<KeyValue> values) {
    /** Creates a result. */
    public RangeResult {
        Objects.requireNonNull(revision, "revision");
        values = List.copyOf(values);
    }

    /** Creates a result of a service without eras. */
    public RangeResult(long revision, List<KeyValue> values) {
        this(StoreRevision.of(revision), values);
    }
}
