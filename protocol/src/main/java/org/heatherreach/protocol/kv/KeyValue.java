package org.heatherreach.protocol.kv;

import java.util.Objects;

/**
 * A key of the key-value service with its value. The value is not copied and must not be changed.
 *
 * @param key the key
 * @param value the value, empty if only keys were requested
 * @param createRevision the revision that created the key
 * @param modRevision the revision that last changed the key
 * @param version the number of changes since the key was created
 * @param leaseId the lease that the key is attached to, which deletes the key when it ends; 0 for none
 */
public record KeyValue(String key, byte[] value, long createRevision, long modRevision, long version, long leaseId) {
    /** Creates a key with its value. */
    public KeyValue {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
