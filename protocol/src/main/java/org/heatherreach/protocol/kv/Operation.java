package org.heatherreach.protocol.kv;

import java.util.Objects;

/** One operation of a transaction. Immutable, except that values are not copied. */
public sealed interface Operation {
    /**
     * Sets a key.
     *
     * @param key the key
     * @param value the value
     * @param leaseId the lease that the key is attached to, which deletes the key when it ends; 0 for none
     */
    record Put(String key, byte[] value, long leaseId) implements Operation {
        /** Creates an operation. */
        public Put {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * Deletes keys.
     *
     * @param range the keys
     */
    record Delete(KeyRange range) implements Operation {
        /** Creates an operation. */
        public Delete {
            Objects.requireNonNull(range, "range");
        }
    }

    /**
     * Reads keys.
     *
     * @param range the keys
     * @param keysOnly whether the values are left out
     */
    record Range(KeyRange range, boolean keysOnly) implements Operation {
        /** Creates an operation. */
        public Range {
            Objects.requireNonNull(range, "range");
        }
    }
}
