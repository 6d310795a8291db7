package org.heatherreach.protocol.kv;

import java.io.IOException;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The JSON value of the head key of the table and of its history keys. Unknown fields are ignored, so that a later
 * release may add fields. Immutable.
 *
 * @param changeId the id that the operator's tool chose for the change
 * @param author who made the change
 * @param comment the reason for the change, in the author's words; may be empty
 * @param sequence the number of changes before this one
 * @param baseVersion the version that the change started from, or 0
 * @param appliedEpochMillis the wall-clock time of the tool, for display only
 * @param chunks the hashes of the chunks in order
 */
public record TableHead(
        String changeId,
        String author,
        String comment,
        long sequence,
        long baseVersion,
        long appliedEpochMillis,
        List<String> chunks) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Creates a head. */
    public TableHead {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(comment, "comment");
        chunks = List.copyOf(chunks);
    }

    /** Returns the JSON form as UTF-8. */
    public byte[] toBytes() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (IOException e) {
            throw new IllegalStateException("cannot serialize a record of strings and numbers", e);
        }
    }

    /** Reads the JSON form. */
    public static TableHead read(byte[] json) throws KeyValueFormatException {
        try {
            return MAPPER.readValue(json, TableHead.class);
        } catch (IOException e) {
            throw new KeyValueFormatException("malformed table head: " + e.getMessage(), e);
        }
    }
}
