import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in of the platform's metadata store: items, ranges, watches by long poll, transactions without conditions and
 * leases. It answers at once and loses nothing. It may close waiting watches, which PROTOCOL.md allows.
 */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final Pattern PUT = Pattern.compile(
            "\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"(?:,\"lease\":([0-9]+))?");
    private static final Pattern DELETES = Pattern.compile("\"deletes\":\\[([^\\]]*)\\]");
    private static final Pattern TTL = Pattern.compile("\"ttl_time\":\"([0-9]+)ms\"");

    private record Item(String key, String value, long revision, long createRevision, long lease) {
        String json() {
            return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision + ",\"create_rev\":"
                    + createRevision + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(long revision, String key, String json) {}

    private record Lease(long ttlMillis, long deadlineNanos) {}

    private final ServerSocket listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Record record;
    private long revision = 1;
    private long lastLease = 100;
    private volatile long watchCutMillis;
    private volatile int watchesCut;
    private volatile long silencedNanos = System.nanoTime();

    Store(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Net.daemonThread(this::acceptAll);
        Net.daemonThread(this::expireAll);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Closes each watch that has waited this long without an event, instead of answering it; 0 for never. */
    void cutWatchesAfter(long millis) {
        watchCutMillis = millis;
    }

    /** From now on, sends nothing more on the connections that are open; new ones work. */
    void silenceOpenConnections() {
        silencedNanos = System.nanoTime();
    }

    int watchesCut() {
        return watchesCut;
    }

    /** Writes a key and returns the time at which the write was accepted. */
    synchronized long put(String key, String value) {
        putEncoded(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        return System.nanoTime();
    }

    /** Removes a key and returns the time at which the removal was accepted. */
    synchronized long remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(new Event(
                    revision, key, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"));
            notifyAll();
        }
        return System.nanoTime();
    }

    private synchronized void putEncoded(String key, String value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.createRevision, lease);
        items.put(key, item);
        events.add(new Event(revision, key, item.json()));
        notifyAll();
    }

    private void expireAll() {
        while (true) {
            Net.sleep(50);
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = leases.entrySet().stream()
                        .filter(entry -> now - entry.getValue().deadlineNanos >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
                ended.forEach(this::endLease);
            }
        }
    }

    private synchronized void endLease(long lease) {
        leases.remove(lease);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease == lease)
                .map(Item::key)
                .toList();
        keys.forEach(this::remove);
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Net.daemonThread(() -> serve(socket));
            }
        } catch (IOException e) {
            record.note("store stops: " + e);
        }
    }

    private void serve(Socket socket) {
        long openedNanos = System.nanoTime();
        try (socket) {
            socket.setTcpNoDelay(true);
            Http.Reader in = new Http.Reader(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = in.readMessage(false, Long.MAX_VALUE);
                if (request == null) {
                    return;
                }
                String[] start = request.startLine().split(" ");
                String answer = execute(start[0], start[1], new String(request.body(), StandardCharsets.UTF_8));
                if (answer == null) {
                    return;
                }
                if (openedNanos - silencedNanos < 0) {
                    // Wait for the client to give the connection up.
                    while (in.readMessage(false, Long.MAX_VALUE) != null) {
                        record.note("a call on a silent connection");
                    }
                    return;
                }
                int split = answer.indexOf(' ');
                byte[] body = answer.substring(split + 1).getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + answer.substring(0, split) + " -\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
            }
        } catch (IOException e) {
            // The client has closed its connection.
        }
    }

    /** Returns the status and the body, or null if the connection is to be closed without an answer. */
    private String execute(String method, String target, String body) {
        int question = target.indexOf('?');
        String path = question < 0 ? target : target.substring(0, question);
        Map<String, String> query = Http.query(question < 0 ? "" : target.substring(question + 1));
        if (path.equals("/api/kv-range")) {
            return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        }
        if (path.equals("/api/kv-key")) {
            return key(query.getOrDefault("key", ""));
        }
        if (path.equals("/api/kv-watch")) {
            return watch(
                    query.getOrDefault("prefix", ""),
                    Long.parseLong(query.getOrDefault("after", "0")),
                    Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        if (path.equals("/api/kv-txn")) {
            return transact(body);
        }
        if (path.equals("/api/kv-lease")) {
            return grant(body);
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        return path.startsWith("/api/kv-lease-end/") ? end(lease) : keep(lease);
    }

    private synchronized String range(String prefix, String after) {
        List<String> page = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(after, false).values()) {
            if (item.key.startsWith(prefix)) {
                if (page.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                page.add(item.json());
            }
        }
        return "200 {\"items\":[" + String.join(",", page) + "],\"has_more\":" + more + ",\"store_revision\":" + revision
                + "}";
    }

    private synchronized String key(String key) {
        Item item = items.get(key);
        if (item == null) {
            return "404 {\"store_revision\":" + revision + "}";
        }
        String json = item.json();
        return "200 " + json.substring(0, json.length() - 1) + ",\"store_revision\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) {
        long start = System.nanoTime();
        while (true) {
            List<String> found = events.stream()
                    .filter(event -> event.revision > after && event.key.startsWith(prefix))
                    .map(Event::json)
                    .toList();
            long waited = (System.nanoTime() - start) / 1_000_000;
            if (!found.isEmpty() || waited >= waitMillis) {
                return "200 {\"events\":[" + String.join(",", found) + "],\"store_revision\":" + revision + "}";
            }
            long cut = watchCutMillis;
            if (cut > 0 && waited >= cut) {
                watchesCut++;
                return null;
            }
            long left = waitMillis - waited;
            try {
                wait(Math.max(1, cut > 0 ? Math.min(left, cut - waited) : Math.min(left, 100)));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
        }
    }

    private synchronized String transact(String body) {
        if (!body.contains("\"expected_rev\":[]")) {
            return "400 {}";
        }
        Matcher put = PUT.matcher(body);
        while (put.find()) {
            long lease = put.group(3) == null ? 0 : Long.parseLong(put.group(3));
            if (lease != 0 && !leases.containsKey(lease)) {
                return "404 {}";
            }
            putEncoded(put.group(1), put.group(2), lease);
        }
        Matcher deletes = DELETES.matcher(body);
        if (deletes.find()) {
            for (String key : deletes.group(1).split(",")) {
                if (!key.isBlank()) {
                    remove(key.replace("\"", ""));
                }
            }
        }
        return "200 {\"revision\":" + revision + "}";
    }

    private synchronized String grant(String body) {
        Matcher ttl = TTL.matcher(body);
        long millis = ttl.find() ? Math.max(1000, Long.parseLong(ttl.group(1))) : 4000;
        lastLease++;
        leases.put(lastLease, new Lease(millis, System.nanoTime() + millis * 1_000_000));
        return "200 {\"lease\":" + lastLease + ",\"ttl_time\":\"" + millis + "ms\"}";
    }

    private synchronized String keep(long lease) {
        Lease known = leases.get(lease);
        if (known == null) {
            return "404 {}";
        }
        leases.put(lease, new Lease(known.ttlMillis, System.nanoTime() + known.ttlMillis * 1_000_000));
        return "200 {\"ttl_time\":\"" + known.ttlMillis + "ms\"}";
    }

    private synchronized String end(long lease) {
        if (!leases.containsKey(lease)) {
            return "404 {}";
        }
        endLease(lease);
        return "200 {}";
    }
}
