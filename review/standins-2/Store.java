import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's metadata store as PROTOCOL.md describes it, in memory: items, watches, transactions and leases. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision, long createRev, long lease) {
        String json() {
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"revision\":" + revision
                    + ",\"create_rev\":" + createRev + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(long revision, String key, String json) {}

    private static final class Lease {
        long ttlMillis;
        long endNanos;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    });
    private long revision = 100;
    private long nextLease = 77000;
    private volatile boolean closed;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::expireLeases);
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an item as the operator or a server does; returns the revision, which is the acknowledgement. */
    synchronized long put(String key, String text) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void write(String key, String value, long lease) {
        Item known = items.get(key);
        Item item = new Item(key, value, revision, known == null ? revision : known.createRev, lease);
        items.put(key, item);
        events.add(new Event(revision, key, item.json()));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            events.add(new Event(
                    revision, key, "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision + ",\"removed\":true}"));
        }
    }

    private void expireLeases() {
        while (!closed) {
            synchronized (this) {
                long now = System.nanoTime();
                for (long id : List.copyOf(leases.keySet())) {
                    if (leases.get(id).endNanos - now < 0) {
                        endLease(id);
                    }
                }
            }
            Site.sleep(50);
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease == id)
                .map(Item::key)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        int status = 500;
        String body = "{}";
        try {
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String part : raw == null ? new String[0] : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), "UTF-8"));
            }
            String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath();
            StringBuilder answer = new StringBuilder();
            status = answer(path, query, text, answer);
            body = answer.toString();
        } catch (RuntimeException | InterruptedException e) {
            status = 500;
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private int answer(String path, Map<String, String> query, String text, StringBuilder out)
            throws InterruptedException {
        switch (path) {
            case "/api/kv-key":
                return readKey(query.get("key"), out);
            case "/api/kv-range":
                return readRange(query.get("prefix"), query.get("after"), out);
            case "/api/kv-watch":
                return watch(
                        query.get("prefix"),
                        Long.parseLong(query.get("after")),
                        Long.parseLong(query.get("wait_ms")),
                        out);
            case "/api/kv-txn":
                return transact(Json.read(text), out);
            case "/api/kv-lease":
                return grant(Json.read(text), out);
            default:
                break;
        }
        if (path.startsWith("/api/kv-keep/")) {
            return keep(Long.parseLong(path.substring("/api/kv-keep/".length())), out);
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
                out.append("{}");
                return 200;
            }
        }
        return 404;
    }

    private synchronized int readKey(String key, StringBuilder out) {
        Item item = items.get(key);
        if (item == null) {
            out.append("{\"store_revision\":").append(revision).append('}');
            return 404;
        }
        String json = item.json();
        out.append(json, 0, json.length() - 1).append(",\"store_revision\":").append(revision).append('}');
        return 200;
    }

    private synchronized int readRange(String prefix, String after, StringBuilder out) {
        List<String> page = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(after == null ? prefix : after, after == null).values()) {
            if (item.key.startsWith(prefix)) {
                if (page.size() == 500) {
                    more = true;
                    break;
                }
                page.add(item.json());
            }
        }
        out.append("{\"items\":[").append(String.join(",", page)).append("],\"has_more\":").append(more);
        out.append(",\"store_revision\":").append(revision).append('}');
        return 200;
    }

    private synchronized int watch(String prefix, long after, long waitMillis, StringBuilder out)
            throws InterruptedException {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> found = events.stream()
                    .filter(event -> event.revision > after && event.key.startsWith(prefix))
                    .map(Event::json)
                    .toList();
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMillis <= 0) {
                out.append("{\"events\":[").append(String.join(",", found)).append("],\"store_revision\":");
                out.append(revision).append('}');
                return 200;
            }
            wait(leftMillis);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized int transact(Object body, StringBuilder out) {
        Map<String, Object> call = (Map<String, Object>) body;
        List<Map<String, Object>> conditions =
                (List<Map<String, Object>>) call.getOrDefault("expected_rev", List.of());
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> condition : conditions) {
            Item item = items.get((String) condition.get("key"));
            holds &= (item == null ? 0 : item.revision) == ((Number) condition.get("revision")).longValue();
            if (item != null) {
                current.add(item.json());
            }
        }
        if (!holds) {
            out.append("{\"items\":[").append(String.join(",", current)).append("],\"store_revision\":");
            out.append(revision).append('}');
            return 412;
        }
        List<Map<String, Object>> puts = (List<Map<String, Object>>) call.getOrDefault("puts", List.of());
        for (Map<String, Object> put : puts) {
            long lease = lease(put);
            if (lease != 0 && !leases.containsKey(lease)) {
                out.append("{}");
                return 404;
            }
        }
        revision++;
        puts.forEach(put -> write((String) put.get("key"), (String) put.get("value"), lease(put)));
        ((List<Object>) call.getOrDefault("deletes", List.of())).forEach(key -> remove((String) key));
        notifyAll();
        out.append("{\"revision\":").append(revision).append('}');
        return 200;
    }

    private static long lease(Map<String, Object> put) {
        Object lease = put.get("lease");
        return lease == null ? 0 : ((Number) lease).longValue();
    }

    @SuppressWarnings("unchecked")
    private synchronized int grant(Object body, StringBuilder out) {
        String ttl = String.valueOf(((Map<String, Object>) body).get("ttl_time"));
        Lease lease = new Lease();
        lease.ttlMillis = ttl.endsWith("ms")
                ? Long.parseLong(ttl.substring(0, ttl.length() - 2))
                : (long) (1000 * Double.parseDouble(ttl.substring(0, ttl.length() - 1)));
        lease.endNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
        leases.put(++nextLease, lease);
        out.append("{\"lease\":").append(nextLease).append(",\"ttl_time\":\"").append(lease.ttlMillis).append("ms\"}");
        return 200;
    }

    private synchronized int keep(long id, StringBuilder out) {
        Lease lease = leases.get(id);
        if (lease == null) {
            out.append("{}");
            return 404;
        }
        lease.endNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
        out.append("{\"ttl_time\":\"").append(lease.ttlMillis).append("ms\"}");
        return 200;
    }

    @Override
    public void close() {
        closed = true;
        server.stop(0);
        threads.shutdownNow();
    }
}
