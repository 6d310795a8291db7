package org.heatherreach.coordination.member;

/** Encoded lengths, in bytes, of protobuf fields with a one-byte tag. Stateless and safe for use by any thread. */
final class EncodedSize {
    private EncodedSize() {}

    /** Returns the length of a string field; zero if it is empty. */
    static int ofString(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            // A surrogate pair takes four bytes, so each half counts two.
            bytes += c < 0x80 ? 1 : c < 0x800 || Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes == 0 ? 0 : 1 + varintLength(bytes) + bytes;
    }

    /** Returns the length of a varint field; zero if the value is zero. */
    static int ofVarint(long value) {
        return value == 0 ? 0 : 1 + varintLength(value);
    }

    /** Returns the length of a field that holds an embedded message of the given length. */
    static int ofMessage(int bytes) {
        return 1 + varintLength(bytes) + bytes;
    }

    private static int varintLength(long value) {
        return Math.max(1, (70 - Long.numberOfLeadingZeros(value)) / 7);
    }
}
