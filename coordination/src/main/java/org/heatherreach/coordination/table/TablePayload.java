package org.heatherreach.coordination.table;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * The payload of table messages: no content, a whole table, or a chain of deltas. The first byte is the type.
 * Stateless and safe for use by any thread.
 */
public final class TablePayload {
    private static final byte NONE = 0;
    private static final byte FULL = 1;
    private static final byte DELTAS = 2;
    private static final int DELTA_HEADER_BYTES = 3 * Long.BYTES + Integer.BYTES;

    private TablePayload() {}

    /** Returns a payload without content. */
    public static byte[] none() {
        return new byte[] {NONE};
    }

    /** Returns a payload with a whole table. */
    public static byte[] full(byte[] content) {
        return ByteBuffer.allocate(1 + content.length).put(FULL).put(content).array();
    }

    /** Returns whether a payload has no content. */
    public static boolean isNone(byte[] payload) {
        return payload.length == 0 || payload[0] == NONE;
    }

    static byte[] deltas(Collection<TableDelta> deltas) {
        int size = 1;
        for (TableDelta delta : deltas) {
            size += DELTA_HEADER_BYTES + delta.operations().length;
        }
        ByteBuffer out = ByteBuffer.allocate(size).put(DELTAS);
        for (TableDelta delta : deltas) {
            out.putLong(delta.baseVersion())
                    .putLong(delta.version())
                    .putLong(delta.resultHash())
                    .putInt(delta.operations().length)
                    .put(delta.operations());
        }
        return out.array();
    }

    /** Returns the deltas of a payload; empty if it has no deltas or is corrupt. */
    static List<TableDelta> readDeltas(byte[] payload) {
        if (payload.length == 0 || payload[0] != DELTAS) {
            return List.of();
        }
        ByteBuffer in = ByteBuffer.wrap(payload, 1, payload.length - 1);
        List<TableDelta> deltas = new ArrayList<>();
        try {
            while (in.hasRemaining()) {
                long base = in.getLong();
                long version = in.getLong();
                long hash = in.getLong();
                int length = in.getInt();
                if (length < 0 || length > in.remaining()) {
                    return List.of();
                }
                byte[] operations = new byte[length];
                in.get(operations);
                deltas.add(new TableDelta(base, version, hash, operations));
            }
        } catch (BufferUnderflowException e) {
            return List.of();
        }
        return deltas;
    }

    /** Returns the table of a payload; empty if the payload holds no whole table. */
    static Optional<byte[]> readFull(byte[] payload) {
        if (payload.length == 0 || payload[0] != FULL) {
            return Optional.empty();
        }
        return Optional.of(Arrays.copyOfRange(payload, 1, payload.length));
    }
}
