package org.heatherreach.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The revisions, leases and watchers of the key-value stand-in, with requests and responses in the JSON form of the
 * etcd v3 gateway. Invariants: each transaction that writes takes exactly one revision; watchers receive events in the
 * order of revisions, without gaps. Safe for use by any thread; every method holds the lock of the instance.
 */
final class KeyValueState {
    /** The size limit of a value in design section 1.5. */
    static final int VALUE_LIMIT_BYTES = 1 << 20;

    private static final int EVENT_LIMIT = 100_000;
    private static final int OPERATION_LIMIT = 128;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final NavigableMap<String, KeyValueEntry> entries = new TreeMap<>();
    private final Deque<KeyValueEntry> events = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Set<Watcher> watchers = new HashSet<>();
    private long revision = 1;
    private long compactRevision;
    private long nextLease = 1;
    private long nextWatch = 1;

    synchronized ObjectNode range(JsonNode request) {
        Range range = Range.of(request);
        Collection<KeyValueEntry> found = range.select(entries).values();
        long limit = request.path("limit").asLong(0);
        ObjectNode response = header();
        if (!request.path("count_only").asBoolean(false)) {
            ArrayNode array = response.putArray("kvs");
            boolean keysOnly = request.path("keys_only").asBoolean(false);
            for (KeyValueEntry entry : sorted(found, request)) {
                if (limit > 0 && array.size() == limit) {
                    response.put("more", true);
                    break;
                }
                array.add(entry.toJson(keysOnly));
            }
            if (array.isEmpty()) {
                response.remove("kvs");
            }
        }
        KeyValueEntry.putLong(response, "count", found.size());
        return response;
    }

    synchronized ObjectNode put(JsonNode request) {
        checkPut(request);
        revision++;
        return applyPut(request);
    }

    synchronized ObjectNode deleteRange(JsonNode request) {
        Range range = Range.of(request);
        if (!range.select(entries).isEmpty()) {
            revision++;
        }
        return applyDelete(request);
    }

    synchronized ObjectNode transact(JsonNode request) {
        boolean succeeded = true;
        for (JsonNode compare : request.path("compare")) {
            succeeded &= holds(compare);
        }
        JsonNode operations = request.path(succeeded ? "success" : "failure");
        if (operations.size() > OPERATION_LIMIT) {
            throw StoreException.invalid("etcdserver: too many operations in txn request");
        }
        boolean writes = false;
        Set<String> putKeys = new HashSet<>();
        for (JsonNode operation : operations) {
            if (operation.has("request_put")) {
                checkPut(operation.get("request_put"));
                if (!putKeys.add(operation.get("request_put").path("key").asText())) {
                    throw StoreException.invalid("etcdserver: duplicate key given in txn request");
                }
                writes = true;
            } else if (operation.has("request_delete_range")) {
                writes |= !Range.of(operation.get("request_delete_range"))
                        .select(entries)
                        .isEmpty();
            }
        }
        if (writes) {
            revision++;
        }
        ObjectNode response = header();
        if (succeeded) {
            response.put("succeeded", true);
        }
        ArrayNode responses = Json.object().arrayNode();
        for (JsonNode operation : operations) {
            responses.add(apply(operation));
        }
        if (!responses.isEmpty()) {
            response.set("responses", responses);
        }
        return response;
    }

    synchronized ObjectNode grantLease(JsonNode request, long nowNanos) {
        long ttlSeconds = request.path("TTL").asLong(0);
        if (ttlSeconds < 1) {
            throw StoreException.invalid("etcdserver: too small lease TTL");
        }
        long id = request.path("ID").asLong(0);
        if (id == 0) {
            id = nextLease++;
        }
        if (leases.containsKey(id)) {
            throw StoreException.invalid("etcdserver: lease already exists");
        }
        leases.put(id, new Lease(ttlSeconds, nowNanos + ttlSeconds * NANOS_PER_SECOND));
        return header().put("ID", Long.toString(id)).put("TTL", Long.toString(ttlSeconds));
    }

    /** Renews a lease. As in etcd, the answer for an unknown lease has no {@code TTL}. */
    synchronized ObjectNode keepAlive(JsonNode request, long nowNanos) {
        long id = request.path("ID").asLong(0);
        Lease lease = leases.get(id);
        ObjectNode result = header().put("ID", Long.toString(id));
        if (lease != null) {
            leases.put(id, new Lease(lease.ttlSeconds(), nowNanos + lease.ttlSeconds() * NANOS_PER_SECOND));
            result.put("TTL", Long.toString(lease.ttlSeconds()));
        }
        ObjectNode response = Json.object();
        response.set("result", result);
        return response;
    }

    synchronized ObjectNode revokeLease(JsonNode request) {
        long id = request.path("ID").asLong(0);
        if (!leases.containsKey(id)) {
            throw StoreException.leaseNotFound();
        }
        endLease(id);
        return header();
    }

    /** Ends the leases whose time has passed. */
    synchronized void expireLeases(long nowNanos) {
        for (Map.Entry<Long, Lease> entry : List.copyOf(leases.entrySet())) {
            if (entry.getValue().expiryDeadlineNanos() - nowNanos <= 0) {
                endLease(entry.getKey());
            }
        }
    }

    /** Ends all leases at once, as if their holders had been paused past their time. */
    synchronized int expireAllLeases() {
        int count = leases.size();
        for (long id : List.copyOf(leases.keySet())) {
            endLease(id);
        }
        return count;
    }

    /** Starts a watch and delivers the past events that it asks for. Messages are JSON documents without newline. */
    synchronized Watcher watch(JsonNode create, Consumer<String> output) {
        Range range = Range.of(create);
        long id = nextWatch++;
        Watcher watcher = new Watcher(id, range, create.path("progress_notify").asBoolean(false), output);
        ObjectNode created = header().put("watch_id", Long.toString(id)).put("created", true);
        output.accept(wrap(created));
        long start = create.path("start_revision").asLong(0);
        if (start > 0 && start <= compactRevision) {
            output.accept(wrap(header().put("watch_id", Long.toString(id))
                    .put("canceled", true)
                    .put("compact_revision", Long.toString(compactRevision))));
            return watcher;
        }
        if (start > 0) {
            List<KeyValueEntry> past = new ArrayList<>();
            for (KeyValueEntry event : events) {
                if (event.modRevision() >= start && range.contains(event.key())) {
                    past.add(event);
                }
            }
            deliver(watcher, past);
        }
        watchers.add(watcher);
        return watcher;
    }

    synchronized void cancel(Watcher watcher) {
        watchers.remove(watcher);
    }

    synchronized int watcherCount() {
        return watchers.size();
    }

    synchronized void notifyProgress() {
        for (Watcher watcher : watchers) {
            if (watcher.progressNotify()) {
                watcher.output().accept(wrap(header().put("watch_id", Long.toString(watcher.id()))));
            }
        }
    }

    /** Forgets all past events, so that a watch from an earlier revision is cancelled. */
    synchronized long compact() {
        events.clear();
        compactRevision = revision;
        return revision;
    }

    synchronized long revision() {
        return revision;
    }

    synchronized List<String> keys() {
        return List.copyOf(entries.keySet());
    }

    /** Returns the entries, leases and counters. Past events are left out. */
    synchronized ObjectNode snapshot() {
        ObjectNode node = Json.object().put("revision", revision).put("nextLease", nextLease);
        ArrayNode kept = node.putArray("entries");
        entries.values().forEach(entry -> kept.add(entry.toJson(false)));
        ObjectNode ttls = node.putObject("leases");
        leases.forEach((id, lease) -> ttls.put(Long.toString(id), lease.ttlSeconds()));
        return node;
    }

    /**
     * Takes over a snapshot. As after a compaction, a watch from an earlier revision is cancelled; leases get their
     * whole time again, as in etcd after a change of its leader.
     */
    synchronized void restore(JsonNode snapshot, long nowNanos) {
        entries.clear();
        snapshot.path("entries").forEach(node -> {
            KeyValueEntry entry = KeyValueEntry.of(node);
            entries.put(entry.key(), entry);
        });
        leases.clear();
        snapshot.path("leases").properties().forEach(lease -> {
            long ttlSeconds = lease.getValue().asLong();
            leases.put(Long.parseLong(lease.getKey()), new Lease(ttlSeconds, nowNanos + ttlSeconds * NANOS_PER_SECOND));
        });
        revision = snapshot.path("revision").asLong(1);
        nextLease = snapshot.path("nextLease").asLong(1);
        compact();
    }

    private ObjectNode apply(JsonNode operation) {
        ObjectNode response = Json.object();
        if (operation.has("request_put")) {
            response.set("response_put", applyPut(operation.get("request_put")));
        } else if (operation.has("request_delete_range")) {
            response.set("response_delete_range", applyDelete(operation.get("request_delete_range")));
        } else if (operation.has("request_range")) {
            response.set("response_range", range(operation.get("request_range")));
        } else {
            throw StoreException.invalid("etcdserver: operation not supported");
        }
        return response;
    }

    private void checkPut(JsonNode request) {
        if (decode(request.path("key")).isEmpty()) {
            throw StoreException.invalid("etcdserver: key is not provided");
        }
        if (bytes(request.path("value")).length > VALUE_LIMIT_BYTES) {
            throw StoreException.tooLarge();
        }
        long lease = request.path("lease").asLong(0);
        if (lease != 0 && !leases.containsKey(lease)) {
            throw StoreException.leaseNotFound();
        }
    }

    private ObjectNode applyPut(JsonNode request) {
        String key = decode(request.path("key"));
        KeyValueEntry old = entries.get(key);
        KeyValueEntry entry = new KeyValueEntry(
                key,
                bytes(request.path("value")),
                old == null ? revision : old.createRevision(),
                revision,
                old == null ? 1 : old.version() + 1,
                request.path("lease").asLong(0));
        entries.put(key, entry);
        record(entry);
        return header();
    }

    private ObjectNode applyDelete(JsonNode request) {
        List<String> keys = List.copyOf(Range.of(request).select(entries).keySet());
        keys.forEach(this::delete);
        ObjectNode response = header();
        KeyValueEntry.putLong(response, "deleted", keys.size());
        return response;
    }

    private void delete(String key) {
        entries.remove(key);
        record(new KeyValueEntry(key, new byte[0], 0, revision, 0, 0));
    }

    private void record(KeyValueEntry event) {
        if (events.size() == EVENT_LIMIT) {
            compactRevision = events.removeFirst().modRevision();
        }
        events.addLast(event);
        for (Watcher watcher : watchers) {
            if (watcher.range().contains(event.key())) {
                deliver(watcher, List.of(event));
            }
        }
    }

    private void deliver(Watcher watcher, List<KeyValueEntry> delivered) {
        if (delivered.isEmpty()) {
            return;
        }
        ObjectNode response = header().put("watch_id", Long.toString(watcher.id()));
        ArrayNode array = response.putArray("events");
        for (KeyValueEntry event : delivered) {
            ObjectNode node = array.addObject();
            if (event.version() == 0) {
                node.put("type", "DELETE");
            }
            node.set("kv", event.toJson(false));
        }
        watcher.output().accept(wrap(response));
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = entries.values().stream()
                .filter(entry -> entry.lease() == id)
                .map(KeyValueEntry::key)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
        }
    }

    private boolean holds(JsonNode compare) {
        KeyValueEntry entry = entries.get(decode(compare.path("key")));
        String target = compare.path("target").asText("VERSION");
        int order;
        if ("VALUE".equals(target)) {
            if (entry == null) {
                // In etcd a comparison with the value of a missing key always fails.
                return false;
            }
            order = Arrays.compareUnsigned(entry.value(), bytes(compare.path("value")));
        } else {
            order = switch (target) {
                case "VERSION" ->
                    Long.compare(
                            entry == null ? 0 : entry.version(),
                            compare.path("version").asLong(0));
                case "CREATE" ->
                    Long.compare(
                            entry == null ? 0 : entry.createRevision(),
                            compare.path("create_revision").asLong(0));
                case "MOD" ->
                    Long.compare(
                            entry == null ? 0 : entry.modRevision(),
                            compare.path("mod_revision").asLong(0));
                case "LEASE" ->
                    Long.compare(
                            entry == null ? 0 : entry.lease(),
                            compare.path("lease").asLong(0));
                default -> throw StoreException.invalid("unknown compare target " + target);
            };
        }
        String result = compare.path("result").asText("EQUAL");
        return switch (result) {
            case "EQUAL" -> order == 0;
            case "NOT_EQUAL" -> order != 0;
            case "GREATER" -> order > 0;
            case "LESS" -> order < 0;
            default -> throw StoreException.invalid("unknown compare result " + result);
        };
    }

    private ObjectNode header() {
        ObjectNode response = Json.object();
        response.putObject("header")
                .put("cluster_id", "1")
                .put("member_id", "1")
                .put("revision", Long.toString(revision))
                .put("raft_term", "1");
        return response;
    }

    private static List<KeyValueEntry> sorted(Collection<KeyValueEntry> found, JsonNode request) {
        List<KeyValueEntry> list = new ArrayList<>(found);
        Comparator<KeyValueEntry> order =
                switch (request.path("sort_target").asText("KEY")) {
                    case "VERSION" -> Comparator.comparingLong(KeyValueEntry::version);
                    case "CREATE" -> Comparator.comparingLong(KeyValueEntry::createRevision);
                    case "MOD" -> Comparator.comparingLong(KeyValueEntry::modRevision);
                    default -> Comparator.comparing(KeyValueEntry::key);
                };
        list.sort("DESCEND".equals(request.path("sort_order").asText()) ? order.reversed() : order);
        return list;
    }

    private static String wrap(ObjectNode result) {
        ObjectNode message = Json.object();
        message.set("result", result);
        return Json.write(message);
    }

    private static String decode(JsonNode node) {
        return new String(bytes(node), StandardCharsets.ISO_8859_1);
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return Base64.getDecoder().decode(node.asText(""));
        } catch (IllegalArgumentException e) {
            throw StoreException.invalid("illegal base64 data");
        }
    }

    /** A watch in progress. Compared by identity through its unique id. */
    record Watcher(long id, Range range, boolean progressNotify, Consumer<String> output) {}

    private record Lease(long ttlSeconds, long expiryDeadlineNanos) {}

    /** A key range: one key without end, all keys from the start on with the end {@code \0}, else up to the end. */
    record Range(String start, String end) {
        static Range of(JsonNode request) {
            return new Range(decode(request.path("key")), decode(request.path("range_end")));
        }

        boolean contains(String key) {
            if (end.isEmpty()) {
                return key.equals(start);
            }
            return key.compareTo(start) >= 0 && ("\0".equals(end) || key.compareTo(end) < 0);
        }

        NavigableMap<String, KeyValueEntry> select(NavigableMap<String, KeyValueEntry> all) {
            if (end.isEmpty()) {
                return all.subMap(start, true, start, true);
            }
            if ("\0".equals(end)) {
                return all.tailMap(start, true);
            }
            return start.compareTo(end) < 0 ? all.subMap(start, true, end, false) : new TreeMap<>();
        }
    }
}
