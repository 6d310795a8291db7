package org.heatherreach.protocol.kv;

import java.util.Objects;

import org.heatherreach.state.store.StoreRevision;

/**
 * A key of the key-value service with its value. The value is not copied and must not be changed.
 *
 * @param key the key
 * @param value the value, empty if only keys were requested
 * @param createRevision the revision that created the key
 * @param modRevision the revision that last changed the key
 * @param version the number of changes since the key was created
 * @param leaseId the lease that the key is attached to, which deletes the key when it ends; 0 for none
 * @param era the era of the service in which the key was read; 0 for a service without eras
 */
public record KeyValue(
        String key, byte[] value, long createRevision, long modRevision, long version, long leaseId, long era) {
    /** Creates a key with its value. */
    public KeyValue {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Creates a key of a service without eras. */
    public KeyValue(String key, byte[] value, long createRevision, long modRevision, long version, long leaseId) {
        this(key, value, createRevision, modRevision, version, leaseId, 0);
    }

    /**
     * Returns the revision that last changed the key, in the era in which the key was read. If the service came back from
     * a copy, this is the revision of the copy, although the change was made in an earlier era.
     */
    public StoreRevision revision() {
        return new StoreRevision(era, modRevision);
    }
}
