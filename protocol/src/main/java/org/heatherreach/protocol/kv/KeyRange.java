package org.heatherreach.protocol.kv;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

/**
 * One key, or all keys with a prefix. Immutable and safe for use by any thread.
 *
 * @param key the key or the prefix
 * @param isPrefix whether all keys that start with the key are meant
 */
public record KeyRange(String key, boolean isPrefix) {
    /** Every key. */
    public static final KeyRange ALL = new KeyRange("", true);

    /**
     * Creates a range.
     *
     * @throws IllegalArgumentException if a single key is empty
     */
    public KeyRange {
        Objects.requireNonNull(key, "key");
        if (key.isEmpty() && !isPrefix) {
            throw new IllegalArgumentException("key must not be empty");
        }
    }

    /** Returns the range of one key. */
    public static KeyRange of(String key) {
        return new KeyRange(key, false);
    }

    /** Returns the range of all keys with a prefix. */
    public static KeyRange prefix(String prefix) {
        return new KeyRange(prefix, true);
    }

    /**
     * Returns the first key of the range, which is a zero byte for all keys because the service rejects an empty key.
     */
    String firstKey() {
        return key.isEmpty() ? "\0" : key;
    }

    /**
     * Returns the first key after all keys with the prefix: the prefix with its last byte incremented. A zero byte
     * means no end.
     */
    byte[] endKey() {
        if (key.isEmpty()) {
            return new byte[1];
        }
        byte[] end = key.getBytes(StandardCharsets.UTF_8);
        int last = end.length - 1;
        while (last >= 0 && end[last] == (byte) 0xff) {
            last--;
        }
        end[last]++;
        return Arrays.copyOf(end, last + 1);
    }
}
