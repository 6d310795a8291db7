package org.heatherreach.coordination.table;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.openhft.hashing.LongHashFunction;

/**
 * The lines that differ between two versions of a text, as runs copied from the base and literal bytes. At 35,000 rows
 * a full table takes more than 1 MB, so pushing it 500 times a day would pass the limit of 3 KB/s per daemon.
 * Immutable by convention: nobody changes the operations. Safe for use by any thread.
 *
 * @param baseVersion the version that the delta applies to
 * @param version the version that it leads to
 * @param resultHash hash of the resulting content
 * @param operations encoded runs
 */
record TableDelta(long baseVersion, long version, long resultHash, byte[] operations) {
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final byte COPY = 0;
    private static final byte LITERAL = 1;

    /** Computes the difference. */
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
            boolean continues = copyTo > copyFrom && matches(base, copyTo, result, from, length);
            if (continues) {
                copyTo += length;
            } else {
                Integer found = baseLines.get(ByteBuffer.wrap(result, from, length));
                writeCopy(operations, copyFrom, copyTo);
                copyTo = copyFrom;
                if (found != null) {
                    writeLiteral(operations, result, literalFrom, from);
                    copyFrom = found;
                    copyTo = found + length;
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

    /** Applies the delta; empty if it is damaged or the base is not the one that it was made for. */
    Optional<byte[]> apply(byte[] base) {
        ByteBuffer in = ByteBuffer.wrap(operations);
        List<byte[]> pieces = new ArrayList<>();
        int size = 0;
        while (in.hasRemaining()) {
            if (in.remaining() < 5) {
                return Optional.empty();
            }
            byte kind = in.get();
            int first = in.getInt();
            if (kind == COPY) {
                int length = in.remaining() < 4 ? -1 : in.getInt();
                if (first < 0 || length < 0 || length > base.length - first) {
                    return Optional.empty();
                }
                pieces.add(Arrays.copyOfRange(base, first, first + length));
            } else {
                if (kind != LITERAL || first < 0 || first > in.remaining()) {
                    return Optional.empty();
                }
                byte[] literal = new byte[first];
                in.get(literal);
                pieces.add(literal);
            }
            size += pieces.get(pieces.size() - 1).length;
        }
        byte[] result = new byte[size];
        int at = 0;
        for (byte[] piece : pieces) {
            System.arraycopy(piece, 0, result, at, piece.length);
            at += piece.length;
        }
        return HASH.hashBytes(result) == resultHash ? Optional.of(result) : Optional.empty();
    }

    private static boolean matches(byte[] base, int baseFrom, byte[] result, int from, int length) {
        return baseFrom + length <= base.length
                && Arrays.equals(base, baseFrom, baseFrom + length, result, from, from + length);
    }

    private static int lineEnd(byte[] text, int from) {
        int at = from;
        while (at < text.length && text[at] != '\n') {
            at++;
        }
        return Math.min(text.length, at + 1);
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
