package org.heatherreach.protocol.kv;

import java.util.List;

/**
 * The result of a read. Immutable.
 *
 * @param revision the revision of the store at the time of the read
 * @param values the entries found, in byte order of their keys
 */
public record RangeResult(long revision, List<KeyValue> values) {
    /** Creates a result. */
    public RangeResult {
        values = List.copyOf(values);
    }
}
