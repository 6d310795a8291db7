package org.heatherreach.state.table;

import java.util.Objects;

/**
 * A part of the bytes of a table. The content is not copied and must not be changed.
 *
 * @param hash the SHA-256 of the content in lower-case hexadecimal
 * @param content the bytes
 */
public record TableChunk(String hash, byte[] content) {
    /** Creates a chunk. */
    public TableChunk {
        Objects.requireNonNull(hash, "hash");
        Objects.requireNonNull(content, "content");
    }

    /** Creates a chunk with the hash of the content. */
    public static TableChunk of(byte[] content) {
        return new TableChunk(TableChunks.hash(content), content);
    }

    /** Returns whether the content matches the hash. */
    public boolean isIntact() {
        return hash.equals(TableChunks.hash(content));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TableChunk chunk && hash.equals(chunk.hash);
    }

    @Override
    public int hashCode() {
        return hash.hashCode();
    }

    /** Returns the hash and the size, for logs. */
    @Override
    public String toString() {
        return hash + " (" + content.length + " bytes)";
    }
}
