package org.heatherreach.state.table;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import io.vavr.control.Either;
import net.openhft.hashing.LongHashFunction;

/**
 * Splits the bytes of a table into chunks and joins them. A chunk ends after a row whose name has a certain hash, so a
 * change of one row changes one chunk, and readers fetch only the chunks that they do not have yet. At the table size
 * in section 1.4 of the design a change transfers about 10 KB instead of the whole table. Stateless.
 */
public final class TableChunks {
    /** The maximum size of a chunk, which leaves a margin below the maximum size of a value in the store. */
    public static final int LIMIT_BYTES = 512 * 1024;

    /** The bits of the hash of a row name that are all zero if the row ends a chunk, on average every 256th row. */
    private static final long BOUNDARY_MASK = 0xff;

    private TableChunks() {}

    /** Returns the chunks of the canonical CSV of a table; equal tables give equal chunks. */
    public static List<TableChunk> split(Table table) {
        List<TableChunk> chunks = new ArrayList<>();
        ByteArrayOutputStream current = new ByteArrayOutputStream();
        current.writeBytes(TableCsv.header().getBytes(StandardCharsets.UTF_8));
        for (TableRow row : table.rows()) {
            byte[] line = TableCsv.line(row).getBytes(StandardCharsets.UTF_8);
            if (current.size() + line.length > LIMIT_BYTES) {
                chunks.add(TableChunk.of(current.toByteArray()));
                current.reset();
            }
            current.writeBytes(line);
            if ((LongHashFunction.xx().hashBytes(row.name().getBytes(StandardCharsets.UTF_8)) & BOUNDARY_MASK) == 0) {
                chunks.add(TableChunk.of(current.toByteArray()));
                current.reset();
            }
        }
        if (current.size() > 0) {
            chunks.add(TableChunk.of(current.toByteArray()));
        }
        return chunks;
    }

    /** Joins the chunks in their order and returns the table, or all problems found. */
    public static Either<List<TableProblem>, Table> join(List<TableChunk> chunks) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        for (TableChunk chunk : chunks) {
            if (!chunk.isIntact()) {
                return Either.left(List.of(
                        new TableProblem("chunk " + chunk.hash(), "row", "", "must have the content of its hash")));
            }
            content.writeBytes(chunk.content());
        }
        return TableCsv.read(content.toByteArray());
    }

    static String hash(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
