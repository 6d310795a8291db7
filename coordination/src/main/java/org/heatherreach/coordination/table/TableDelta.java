package org.heatherreach.coordination.table;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import net.openhft.hashing.LongHashFunction;

/**
 * The line-by-line difference between two versions of a text, encoded as copies of byte ranges of the base and as
 * literal bytes. At 35,000 rows a full table takes more than 1 MB, so pushing it 500 times a day would exceed the limit
 * of 3 KB/s per daemon. Immutable by convention: the operations must not be modified. Safe for use by any thread.
 *
 * @param baseVersion the version that the delta applies to
 * @param version the version of the result
 * @param resultHash hash of the resulting content
 * @param operations the encoded copies and literals
 */
record TableDelta(long baseVersion, long version, long resultHash, byte[] operations) {
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final byte COPY = 0;
    private static final byte LITERAL = 1;
    /** A larger table could not be sent whole; a few bytes of copies can stand for any number of them. */
    private static final int MAX_RESULT_BYTES = 4 << 20;

    /** Computes the difference between two contents. */
    static TableDelta between(long baseVersion, byte[] base, long version, byte[] result) {
        Map<ByteBuffer, Integer> baseLines = new HashMap<>();
        for (int from = 0; from < base.length; ) {
            int to = lineEnd(base, from);
            baseLines.putIfAbsent(ByteBuffer.wrap(base, from, to - from), from);
            from = to;
        }
        ByteArrayOutputStream operations = new ByteArrayOutputStream();
        int literalFrom = 0;
        int copyFrom = 0;
        int copyTo = 0;
        for (int from = 0; from < result.length; ) {
            int to = lineEnd(result, from);
            int length = to - from;
            boolean extendsCopy = copyTo > copyFrom && matches(base, copyTo, result, from, length);
            if (extendsCopy) {
                copyTo += length;
            } else {
                Integer baseOffset = baseLines.get(ByteBuffer.wrap(result, from, length));
                writeCopy(operations, copyFrom, copyTo);
                copyTo = copyFrom;
                if (baseOffset != null) {
                    writeLiteral(operations, result, literalFrom, from);
                    copyFrom = baseOffset;
                    copyTo = baseOffset + length;
                }
            }
            from = to;
            if (copyTo > copyFrom) {
                literalFrom = from;
            }
        }
        writeCopy(operations, copyFrom, copyTo);
        writeLiteral(operations, result, literalFrom, result.length);
        return new TableDelta(baseVersion, version, HASH.hashBytes(result), operations.toByteArray());
    }

    /** Applies the delta; returns empty if it is corrupt, was computed for another base, or its result is too large. */
    Optional<byte[]> apply(byte[] base) {
        ByteBuffer in = ByteBuffer.wrap(operations);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (in.hasRemaining()) {
            if (in.remaining() < 5) {
                return Optional.empty();
            }
            byte operation = in.get();
            int operand = in.getInt();
            int length = operation == LITERAL ? operand : in.remaining() < 4 ? -1 : in.getInt();
            if (operand < 0 || length < 0 || length > MAX_RESULT_BYTES - out.size()) {
                return Optional.empty();
            }
            if (operation == COPY && length <= base.length - operand) {
                out.write(base, operand, length);
            } else if (operation == LITERAL && length <= in.remaining()) {
                out.write(operations, in.position(), length);
                in.position(in.position() + length);
            } else {
                return Optional.empty();
            }
        }
        byte[] result = out.toByteArray();
        return HASH.hashBytes(result) == resultHash ? Optional.of(result) : Optional.empty();
    }

    private static boolean matches(byte[] base, int baseFrom, byte[] result, int from, int length) {
        return baseFrom + length <= base.length
                && Arrays.equals(base, baseFrom, baseFrom + length, result, from, from + length);
    }

    private static int lineEnd(byte[] text, int from) {
        int end = from;
        while (end < text.length && text[end] != '\n') {
            end++;
        }
        return Math.min(text.length, end + 1);
    }

    private static void writeCopy(ByteArrayOutputStream out, int from, int to) {
        if (to > from) {
            out.write(COPY);
            out.writeBytes(ByteBuffer.allocate(8).putInt(from).putInt(to - from).array());
        }
    }

    private static void writeLiteral(ByteArrayOutputStream out, byte[] text, int from, int to) {
        if (to > from) {
            out.write(LITERAL);
            out.writeBytes(ByteBuffer.allocate(4).putInt(to - from).array());
            out.write(text, from, to - from);
        }
    }
}
