package org.heatherreach.protocol.kv;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes requests to the etcd v3 JSON gateway and decodes its responses: keys and values in base64, 64-bit numbers as
 * strings, fields with the value zero left out. Stateless.
 */
public final class KeyValueCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private KeyValueCodec() {}

    /** Returns the body of {@code /v3/kv/range}. */
    public static byte[] range(KeyRange range, boolean keysOnly) {
        return toBytes(rangeNode(range, keysOnly));
    }

    /** Returns the body of {@code /v3/kv/put}. */
    public static byte[] put(Operation.Put put) {
        return toBytes(putNode(put));
    }

    /** Returns the body of {@code /v3/kv/deleterange}. */
    public static byte[] delete(KeyRange range) {
        return toBytes(keyNode(range));
    }

    /** Returns the body of {@code /v3/kv/txn}. */
    public static byte[] transaction(Transaction transaction) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode conditions = body.putArray("compare");
        for (Compare condition : transaction.conditions()) {
            conditions
                    .addObject()
                    .put("key", encode(condition.key()))
                    .put("target", condition.target().name())
                    .put("result", condition.operator().name())
                    .put(condition.target().field(), Long.toString(condition.number()));
        }
        addOperations(body.putArray("success"), transaction.success());
        addOperations(body.putArray("failure"), transaction.failure());
        return toBytes(body);
    }

    /** Returns the body of {@code /v3/lease/grant}. */
    public static byte[] grant(long ttlSeconds) {
        return toBytes(MAPPER.createObjectNode().put("TTL", Long.toString(ttlSeconds)));
    }

    /** Returns the body of {@code /v3/lease/keepalive} and {@code /v3/lease/revoke}. */
    public static byte[] lease(long leaseId) {
        return toBytes(MAPPER.createObjectNode().put("ID", Long.toString(leaseId)));
    }

    /** Returns the body of {@code /v3/watch}; a start revision of 0 requests changes from now on. */
    public static byte[] watch(KeyRange range, long startRevision) {
        ObjectNode create = keyNode(range);
        if (startRevision > 0) {
            create.put("start_revision", Long.toString(startRevision));
        }
        create.put("progress_notify", true);
        ObjectNode body = MAPPER.createObjectNode();
        body.set("create_request", create);
        return toBytes(body);
    }

    /** Reads the response of {@code /v3/kv/range}. */
    public static RangeResult readRange(byte[] body) throws KeyValueFormatException {
        JsonNode response = parse(body);
        return new RangeResult(revision(response), readEntries(response));
    }

    /** Reads the revision in the response of {@code /v3/kv/put} and {@code /v3/kv/deleterange}. */
    public static long readRevision(byte[] body) throws KeyValueFormatException {
        return revision(parse(body));
    }

    /** Reads the response of {@code /v3/kv/txn}. */
    public static TransactionResult readTransaction(byte[] body) throws KeyValueFormatException {
        JsonNode response = parse(body);
        List<List<KeyValue>> steps = new ArrayList<>();
        for (JsonNode step : response.path("responses")) {
            steps.add(readEntries(step.path("response_range")));
        }
        return new TransactionResult(
                revision(response), response.path("succeeded").asBoolean(false), steps);
    }

    /** Reads the response of {@code /v3/lease/grant} or {@code /v3/lease/keepalive}. */
    public static Lease readLease(byte[] body) throws KeyValueFormatException {
        JsonNode response = parse(body);
        JsonNode lease = response.has("result") ? response.get("result") : response;
        if (!lease.has("ID")) {
            throw new KeyValueFormatException("lease without ID");
        }
        return new Lease(lease.get("ID").asLong(), lease.path("TTL").asLong(0));
    }

    /** Reads one message of a watch. */
    public static WatchMessage readWatch(byte[] message) throws KeyValueFormatException {
        JsonNode envelope = parse(message);
        if (envelope.has("error")) {
            throw new KeyValueFormatException(
                    "watch refused: " + envelope.get("error").path("message").asText("no reason"));
        }
        JsonNode result = envelope.path("result");
        List<WatchEvent> events = new ArrayList<>();
        for (JsonNode event : result.path("events")) {
            KeyValue entry = readEntry(event.path("kv"));
            events.add(
                    "DELETE".equals(event.path("type").asText())
                            ? new WatchEvent.Deleted(entry.key(), entry.modRevision())
                            : new WatchEvent.Put(entry));
        }
        return new WatchMessage(
                revision(result),
                result.path("created").asBoolean(false),
                result.path("canceled").asBoolean(false),
                result.path("compact_revision").asLong(0),
                events);
    }

    /** Reads the message of an error response; empty if it has none. */
    public static String readError(byte[] body) {
        try {
            JsonNode response = parse(body);
            return response.path("message").asText(response.path("error").asText(""));
        } catch (KeyValueFormatException e) {
            return "";
        }
    }

    private static void addOperations(ArrayNode array, List<Operation> operations) {
        for (Operation operation : operations) {
            if (operation instanceof Operation.Put put) {
                array.addObject().set("request_put", putNode(put));
            } else if (operation instanceof Operation.Delete delete) {
                array.addObject().set("request_delete_range", keyNode(delete.range()));
            } else if (operation instanceof Operation.Range range) {
                array.addObject().set("request_range", rangeNode(range.range(), range.keysOnly()));
            }
        }
    }

    private static ObjectNode rangeNode(KeyRange range, boolean keysOnly) {
        ObjectNode node = keyNode(range);
        if (keysOnly) {
            node.put("keys_only", true);
        }
        return node;
    }

    private static ObjectNode putNode(Operation.Put put) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("key", encode(put.key()));
        node.put("value", Base64.getEncoder().encodeToString(put.value()));
        if (put.leaseId() != 0) {
            node.put("lease", Long.toString(put.leaseId()));
        }
        return node;
    }

    private static ObjectNode keyNode(KeyRange range) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("key", encode(range.firstKey()));
        if (range.isPrefix()) {
            node.put("range_end", Base64.getEncoder().encodeToString(range.endKey()));
        }
        return node;
    }

    private static List<KeyValue> readEntries(JsonNode response) throws KeyValueFormatException {
        List<KeyValue> entries = new ArrayList<>();
        for (JsonNode node : response.path("kvs")) {
            entries.add(readEntry(node));
        }
        return entries;
    }

    private static KeyValue readEntry(JsonNode node) throws KeyValueFormatException {
        return new KeyValue(
                new String(decode(node.path("key")), StandardCharsets.UTF_8),
                decode(node.path("value")),
                node.path("create_revision").asLong(0),
                node.path("mod_revision").asLong(0),
                node.path("version").asLong(0),
                node.path("lease").asLong(0));
    }

    private static long revision(JsonNode response) throws KeyValueFormatException {
        JsonNode revision = response.path("header").path("revision");
        if (revision.isMissingNode()) {
            throw new KeyValueFormatException("response without header.revision");
        }
        return revision.asLong();
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] decode(JsonNode node) throws KeyValueFormatException {
        try {
            return Base64.getDecoder().decode(node.asText(""));
        } catch (IllegalArgumentException e) {
            throw new KeyValueFormatException("field is not base64", e);
        }
    }

    private static JsonNode parse(byte[] body) throws KeyValueFormatException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new KeyValueFormatException("response is not a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw new KeyValueFormatException("response is not JSON", e);
        }
    }

    private static byte[] toBytes(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a tree of JSON nodes", e);
        }
    }
}
