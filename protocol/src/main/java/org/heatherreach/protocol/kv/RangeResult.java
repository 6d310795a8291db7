package org.heatherreach.protocol.kv;

import java.util.List;

/**
 * The result of a read. Immutable.
 *
 * @param revision the revision of the store at the time of the read
 * @param values the keys found, in byte order
 */
public record RangeResult(long revision, List<KeyValue> values) {
    /** Creates a result. */
    public RangeResult {
        values = List.copyOf(values);
    }
}
