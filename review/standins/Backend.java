import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of a backend server: it registers in the store, checks the expected instance, runs {@code slots} requests
 * at a time, queues a few more, and says so when it did not run a request. A request whose path holds
 * {@link #CRASH_MARK} crashes it: it resets all its connections, accepts none for some seconds and is then back as a new
 * start under a new id at the same address.
 */
final class Backend {
    static final String CRASH_MARK = "/crash";
    private static final int QUEUE = 12;

    /** A request that arrived at a server; {@code ran} is set when the server began to work on it. */
    static final class Arrival {
        final String requestId;
        final String serverId;
        final String target;
        final long nanos;
        volatile boolean ran;
        volatile int bodyBytes = -1;

        Arrival(String requestId, String serverId, String target, long nanos) {
            this.requestId = requestId;
            this.serverId = serverId;
            this.target = target;
            this.nanos = nanos;
        }
    }

    private final Record record;
    private final Store store;
    private final String name;
    private final String service;
    private final String zone;
    private final int slots;
    private final long workMillis;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile Semaphore free;
    private volatile ServerSocket listener;
    private volatile String id;
    private volatile long bornMillis;
    private volatile boolean registered;
    /** Until when requests are turned away, and for how long the server then wants nothing. */
    private volatile long busyUntilNanos = System.nanoTime();
    private volatile String retryAfterSeconds = "";
    /** Until when answers are bodies without end. */
    private volatile long endlessUntilNanos = System.nanoTime();
    private int starts;

    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    /** The ids of requests that were running at the moment of a crash, by another request. */
    final Set<String> lostInCrash = ConcurrentHashMap.newKeySet();
    /** The times at which a request crashed this server. */
    final List<Long> crashes = new CopyOnWriteArrayList<>();

    private final Set<String> running = ConcurrentHashMap.newKeySet();

    Backend(Record record, Store store, String name, String service, String zone, int slots, long workMillis)
            throws IOException {
        this.record = record;
        this.store = store;
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        this.port = Net.freePort();
        start();
    }

    String id() {
        return id;
    }

    private synchronized void start() throws IOException {
        starts++;
        id = "i-" + name + "-" + starts;
        bornMillis = System.currentTimeMillis();
        sequence.set(0);
        free = new Semaphore(slots, true);
        queued.set(0);
        running.clear();
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        listener = socket;
        Net.daemonThread(() -> acceptAll(socket));
        register();
    }

    private void register() {
        registered = true;
        writeEntry();
    }

    private void writeEntry() {
        store.put("servers/" + id, "{\"addr\":\"127.0.0.1:" + port + "\",\"born\":" + bornMillis + ",\"info\":{\"service\":\""
                + service + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots
                + "},\"status\":{\"state\":\"ready\",\"seq\":" + sequence.incrementAndGet()
                + ",\"warmup_left\":\"0ms\"}}");
    }

    /** Removes the entry without a draining report; the server goes on serving. Returns the time of acceptance. */
    long unregister() {
        registered = false;
        long nanos = store.remove("servers/" + id);
        record.note("entry of " + id + " removed from the store");
        return nanos;
    }

    /** For some time, turns requests away with a Retry-After. */
    void turnAway(long millis, int seconds) {
        retryAfterSeconds = Integer.toString(seconds);
        busyUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** For some time, answers with bodies that do not end until the daemon closes the connection. */
    void answerWithoutEnd(long millis) {
        endlessUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Stops accepting and ends what is open. */
    void end() {
        record.note("server " + id + " ends");
        closeAll();
    }

    private synchronized void closeAll() {
        try {
            listener.close();
        } catch (IOException e) {
            record.note("listener of " + id + ": " + e);
        }
        for (Socket socket : open) {
            reset(socket);
        }
        open.clear();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private void crash(String requestId, long downMillis) {
        String crashed = id;
        synchronized (this) {
            if (!crashed.equals(id) || listener.isClosed()) {
                return;
            }
            crashes.add(System.nanoTime());
            running.stream().filter(other -> !other.equals(requestId)).forEach(lostInCrash::add);
            record.note("request " + requestId + " crashes server " + crashed + "; running there: " + running);
            closeAll();
        }
        Net.daemonThread(() -> {
            // The store removes the entry after three silent heartbeats; the new start has an id of its own.
            Net.sleep(downMillis);
            store.remove("servers/" + crashed);
            try {
                start();
                record.note("server is back as " + id);
            } catch (IOException e) {
                record.note("server " + crashed + " did not come back: " + e);
            }
        });
    }

    private void acceptAll(ServerSocket socket) {
        try {
            while (true) {
                Socket connection = socket.accept();
                open.add(connection);
                Net.daemonThread(() -> serve(connection));
            }
        } catch (IOException e) {
            // The server has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Http.Reader in = new Http.Reader(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message head = in.readHead(); head != null; head = in.readHead()) {
                long now = System.nanoTime();
                String self = id;
                Map<String, String> headers = head.headers();
                String requestId = headers.getOrDefault("heatherreach-request-attempt-id", "");
                String target = head.startLine().split(" ")[1];
                String expected = headers.get("heatherreach-expect-instance");
                Arrival arrival = new Arrival(requestId, self, target, now);
                if (expected != null && !expected.equals(self)) {
                    in.readBody(head, false, Long.MAX_VALUE);
                    answer(out, 421, "Heatherreach-Instance-Id: " + self + "\r\n", requestId, "");
                    continue;
                }
                arrivals.add(arrival);
                byte[] body = in.readBody(head, false, Long.MAX_VALUE);
                arrival.bodyBytes = body.length;
                long deadline = now + TimeUnit.MILLISECONDS.toNanos(
                        Long.parseLong(headers.getOrDefault("heatherreach-deadline-ms", "10000")));
                run(arrival, deadline, out);
            }
        } catch (IOException e) {
            // The daemon has closed the connection, or this server has ended.
        } finally {
            open.remove(socket);
        }
    }

    private void run(Arrival arrival, long deadline, OutputStream out) throws IOException {
        if (busyUntilNanos - System.nanoTime() > 0) {
            record.note(arrival.serverId + " turns " + arrival.requestId + " away for " + retryAfterSeconds + " s");
            answer(
                    out,
                    503,
                    "Heatherreach-Not-Executed: 1\r\nRetry-After: " + retryAfterSeconds + "\r\n",
                    arrival.requestId,
                    "");
            return;
        }
        Semaphore slot = free;
        if (!slot.tryAcquire()) {
            if (queued.incrementAndGet() > QUEUE) {
                queued.decrementAndGet();
                answer(out, 503, "Heatherreach-Not-Executed: 1\r\n", arrival.requestId, "");
                return;
            }
            boolean acquired = false;
            try {
                acquired = slot.tryAcquire(Math.max(1, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                queued.decrementAndGet();
            }
            if (!acquired) {
                answer(out, 503, "Heatherreach-Not-Executed: 1\r\n", arrival.requestId, "");
                return;
            }
        }
        try {
            arrival.ran = true;
            running.add(arrival.requestId);
            if (arrival.target.contains(CRASH_MARK)) {
                Net.sleep(20);
                crash(arrival.requestId, 3000);
                return;
            }
            if (endlessUntilNanos - System.nanoTime() > 0) {
                sendWithoutEnd(arrival, out);
                return;
            }
            Net.sleep(workMillis);
            running.remove(arrival.requestId);
            answer(
                    out,
                    200,
                    "Heatherreach-Server-Signature: " + arrival.serverId + "." + arrival.requestId + "\r\n",
                    arrival.requestId,
                    "done " + arrival.requestId + "\n");
        } finally {
            running.remove(arrival.requestId);
            slot.release();
        }
    }

    /** Sends a body in chunks of one byte until the connection ends. */
    private void sendWithoutEnd(Arrival arrival, OutputStream out) throws IOException {
        record.note(arrival.serverId + " begins a body without end in its answer to " + arrival.requestId);
        long sentBytes = 0;
        try {
            out.write(("HTTP/1.1 200 -\r\nHeatherreach-Request-Attempt-Id: " + arrival.requestId
                            + "\r\nHeatherreach-Server-Signature: " + arrival.serverId + "." + arrival.requestId
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            byte[] chunks = "1\r\nz\r\n".repeat(500).getBytes(StandardCharsets.US_ASCII);
            while (true) {
                out.write(chunks);
                sentBytes += chunks.length;
            }
        } finally {
            record.note(arrival.serverId + " ends its answer to " + arrival.requestId + " after " + sentBytes + " bytes");
        }
    }

    private static void answer(OutputStream out, int status, String headers, String requestId, String body)
            throws IOException {
        out.write(("HTTP/1.1 " + status + " -\r\n" + headers + "Heatherreach-Request-Attempt-Id: " + requestId
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
