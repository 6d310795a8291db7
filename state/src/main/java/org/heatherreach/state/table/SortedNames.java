package org.heatherreach.state.table;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Sorted distinct ASCII names in one array of bytes. A name takes its length plus 4 bytes of memory, whereas a string
 * in a hash map takes about 100 bytes. Immutable and safe for use by any thread.
 */
final class SortedNames {
    private final byte[] bytes;
    private final int[] offsets;

    /** Creates an array of names, which must be sorted, distinct and ASCII. */
    SortedNames(List<String> sorted) {
        offsets = new int[sorted.size() + 1];
        int length = 0;
        for (int i = 0; i < sorted.size(); i++) {
            offsets[i] = length;
            length += sorted.get(i).length();
        }
        offsets[sorted.size()] = length;
        bytes = new byte[length];
        for (int i = 0; i < sorted.size(); i++) {
            byte[] name = sorted.get(i).getBytes(StandardCharsets.US_ASCII);
            System.arraycopy(name, 0, bytes, offsets[i], name.length);
        }
    }

    int size() {
        return offsets.length - 1;
    }

    String get(int index) {
        return new String(bytes, offsets[index], length(index), StandardCharsets.US_ASCII);
    }

    int length(int index) {
        return offsets[index + 1] - offsets[index];
    }

    /** Returns the last character of a name. */
    char lastChar(int index) {
        return (char) bytes[offsets[index + 1] - 1];
    }

    /** Returns the index of a name, or -1. */
    int find(CharSequence name) {
        int floor = floor(name, name.length());
        return floor >= 0 && length(floor) == name.length() && isPrefix(floor, name, name.length()) ? floor : -1;
    }

    /**
     * Returns the index of the greatest name that is not greater than the first {@code keyLength} characters of the
     * key, or -1.
     */
    int floor(CharSequence key, int keyLength) {
        int low = 0;
        int high = size() - 1;
        while (low <= high) {
            int middle = low + high >>> 1;
            if (compare(middle, key, keyLength) <= 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return high;
    }

    /** Returns whether a name is a prefix of the first {@code keyLength} characters of the key. */
    boolean isPrefix(int index, CharSequence key, int keyLength) {
        int length = length(index);
        if (length > keyLength) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if ((bytes[offsets[index] + i] & 0xff) != key.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private int compare(int index, CharSequence key, int keyLength) {
        int length = length(index);
        int common = Math.min(length, keyLength);
        for (int i = 0; i < common; i++) {
            int difference = (bytes[offsets[index] + i] & 0xff) - key.charAt(i);
            if (difference != 0) {
                return difference;
            }
        }
        return length - keyLength;
    }
}
