package org.heatherreach.standins;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A stored value. The key holds one byte per character (ISO 8859-1), so that string order is byte order.
 * A version of 0 marks a deletion. Immutable and safe for use by any thread.
 */
record KeyValueEntry(String key, byte[] value, long createRevision, long modRevision, long version, long lease) {
    /** Returns the {@code mvccpb.KeyValue} in JSON form, in which 64-bit integers are strings and zeros are left out. */
    ObjectNode toJson(boolean keysOnly) {
        ObjectNode node = Json.object();
        node.put("key", Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.ISO_8859_1)));
        putLong(node, "create_revision", createRevision);
        putLong(node, "mod_revision", modRevision);
        putLong(node, "version", version);
        if (!keysOnly && value.length > 0) {
            node.put("value", Base64.getEncoder().encodeToString(value));
        }
        putLong(node, "lease", lease);
        return node;
    }

    /** Reads what {@link #toJson} wrote. */
    static KeyValueEntry of(JsonNode node) {
        return new KeyValueEntry(
                new String(Base64.getDecoder().decode(node.path("key").asText()), StandardCharsets.ISO_8859_1),
                Base64.getDecoder().decode(node.path("value").asText("")),
                node.path("create_revision").asLong(0),
                node.path("mod_revision").asLong(0),
                node.path("version").asLong(0),
                node.path("lease").asLong(0));
    }

    static void putLong(ObjectNode node, String field, long number) {
        if (number != 0) {
            node.put(field, Long.toString(number));
        }
    }
}
