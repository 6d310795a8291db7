import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A case in which a request crashes servers and comes again. Judges BUDGET: the request reaches servers in at most three
 * retries that are sent later than the stable window after it has crashed the third server.
 */
abstract class CrashCase {
    private static final long DOWN_MILLIS = 4000;
    private static final int BACKLOG = 16;
    private static final int CONNECT_MILLIS = 100;
    /** Three heartbeats, after which the platform removes the entry of a silent server. */
    private static final long SILENCE_MILLIS = 4500;

    private static final long STABLE_WINDOW_MILLIS = 3000;
    private static final int ALLOWED_RETRIES = 3;

    final Site site = new Site();
    volatile boolean stopped;
    private final String service;
    private final int slots;
    private final String caller;
    private final AtomicInteger serverNumbers = new AtomicInteger();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    /** The attempts of the crashing request that a server began to run. */
    private final Set<String> reached = new HashSet<>();

    private final List<String> crashes = new ArrayList<>();
    private long thirdCrashNanos;

    CrashCase(String service, int slots, String caller) throws IOException {
        this.service = service;
        this.slots = slots;
        this.caller = caller;
    }

    /** Returns whether this is the crashing request. */
    abstract boolean isCrashing(Http request);

    /** Returns how long a server works on the crashing request until it crashes. */
    abstract long crashAfterMillis();

    /** Returns whether the crashing request crashes servers in this run. */
    boolean serversCrash() {
        return Site.TROUBLE;
    }

    /** Returns whether a crashed server falls silent, as with its machine, in place of closing its connections. */
    boolean isSilentCrash() {
        return false;
    }

    /** Starts the traffic; returns after the last request has been answered. */
    abstract void send(List<Site.Daemon> daemons);

    /** One start of a server. */
    final class Server {
        final String id = "i-" + serverNumbers.incrementAndGet();
        private final boolean drops;
        private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean crashed;

        /**
         * Starts and registers a server.
         *
         * @param drops whether it drops a request when its connection closes
         */
        Server(boolean drops) throws IOException {
            this.drops = drops;
            Backend.start("accept", this::accept);
            site.store.put(
                    "servers/" + id,
                    String.format(
                            "{\"addr\":\"127.0.0.1:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
                                    + "\"zone\":\"zone-a\",\"slots\":%d},\"status\":{\"state\":\"ready\",\"seq\":1,"
                                    + "\"warmup_left\":\"0ms\"}}",
                            listener.getLocalPort(), System.currentTimeMillis(), service, slots));
        }

        private void accept() {
            while (!crashed) {
                try {
                    Socket socket = listener.accept();
                    connections.add(socket);
                    if (!crashed) {
                        Backend.start("serve", () -> serve(socket));
                    }
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http request;
                while ((request = Http.readHead(in)) != null) {
                    request.readBody(in, false);
                    if (!run(request, socket, in)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The connection was closed, or this server has crashed.
            } finally {
                if (!crashed) {
                    connections.remove(socket);
                    close(socket);
                }
            }
        }

        private boolean run(Http request, Socket socket, InputStream in) throws IOException {
            String requestId = Backend.requestId(request);
            long nowNanos = System.nanoTime();
            long deadlineNanos = nowNanos + Long.parseLong(request.header("Heatherreach-Deadline-Ms")) * 1_000_000;
            boolean crashing = isCrashing(request);
            recordRun(id, requestId, crashing);
            long endNanos = nowNanos + (crashing && serversCrash() ? crashAfterMillis() : 100) * 1_000_000;
            if (!work(socket, in, Math.min(endNanos, deadlineNanos))) {
                return false;
            }
            if (endNanos - deadlineNanos > 0) {
                Backend.answer(
                        socket.getOutputStream(), 504, requestId, "Heatherreach-Server-Signature: s\r\n", new byte[0]);
            } else if (crashing && serversCrash()) {
                crash(requestId);
                return false;
            } else {
                Backend.success(request, socket.getOutputStream(), new byte[400]);
            }
            return true;
        }

        /** Works until a time; returns false if the request was dropped or the server has crashed. */
        private boolean work(Socket socket, InputStream in, long endNanos) throws IOException {
            while (endNanos - System.nanoTime() > 0) {
                if (!drops) {
                    Site.sleep(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
                    continue;
                }
                socket.setSoTimeout(10);
                try {
                    if (in.read() < 0) {
                        return false;
                    }
                } catch (SocketTimeoutException e) {
                    // The connection is open.
                }
            }
            if (!socket.isClosed()) {
                socket.setSoTimeout(0);
            }
            return !crashed;
        }

        private void crash(String requestId) throws IOException {
            crashed = true;
            if (isSilentCrash()) {
                fillBacklog();
            } else {
                closeAll();
            }
            recordCrash(id, requestId);
            Backend.start("restart", () -> {
                try {
                    Site.sleep(DOWN_MILLIS);
                    closeAll();
                    if (!stopped) {
                        new Server(drops);
                    }
                    Site.sleep(SILENCE_MILLIS - DOWN_MILLIS);
                    site.store.delete("servers/" + id);
                } catch (IOException e) {
                    site.log("a server could not start: %s", e);
                }
            });
        }

        private void closeAll() throws IOException {
            listener.close();
            for (Socket socket : connections) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // The daemon has closed it.
                }
            }
        }

        /** Makes further connection attempts hang, since nobody accepts these connections. */
        private void fillBacklog() {
            for (int i = 0; i < 2 * BACKLOG; i++) {
                Socket socket = new Socket();
                connections.add(socket);
                try {
                    socket.connect(listener.getLocalSocketAddress(), CONNECT_MILLIS);
                } catch (IOException e) {
                    return;
                }
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed as far as it can be.
        }
    }

    private synchronized void recordRun(String server, String requestId, boolean crashing) {
        site.log("server %s runs %s", server, requestId);
        if (crashing) {
            reached.add(requestId);
        }
    }

    private synchronized void recordCrash(String server, String requestId) {
        crashes.add(requestId);
        site.log("server %s CRASHED by %s (crash %d)", server, requestId, crashes.size());
        if (crashes.size() == 3) {
            thirdCrashNanos = System.nanoTime();
        }
    }

    /** Sends a request on a connection of its own and counts its status, or 0 if there was no answer. */
    void request(Site.Daemon daemon, String kind, String id, String head, String body, int deadlineMillis) {
        sentNanos.put(id, System.nanoTime());
        site.log("%s sent to %s", id, daemon.name);
        int status = exchange(daemon, id, head, body, deadlineMillis);
        site.log("%s answered %d", id, status);
        synchronized (this) {
            outcomes.merge(kind + " answered " + status, 1, Integer::sum);
        }
    }

    private int exchange(Site.Daemon daemon, String id, String head, String body, int deadlineMillis) {
        try (Socket socket = new Socket()) {
            socket.bind(new InetSocketAddress(caller, 0));
            socket.connect(new InetSocketAddress("127.0.0.1", daemon.front), 1000);
            socket.setSoTimeout(deadlineMillis + 500);
            socket.getOutputStream()
                    .write((head + "Host: shop.example\r\nHeatherreach-Request-Attempt-Id: " + id
                                    + "\r\nHeatherreach-Deadline-Ms: " + deadlineMillis + "\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http answer = Http.readHead(in);
            if (answer == null) {
                return 0;
            }
            answer.readBody(in, true);
            return answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    private boolean run(String rule, int servers, int droppingServers) throws Exception {
        site.configure(7, List.of(rule), List.of(service));
        for (int i = 0; i < servers; i++) {
            new Server(i < droppingServers);
        }
        List<Site.Daemon> daemons = List.of(site.daemon("daemon-1"), site.daemon("daemon-2"));
        for (Site.Daemon daemon : daemons) {
            daemon.start();
        }
        for (Site.Daemon daemon : daemons) {
            daemon.awaitReady(20_000);
        }
        // Until the daemons are in touch.
        Site.sleep(STABLE_WINDOW_MILLIS + 1000);
        send(daemons);
        stopped = true;
        Site.sleep(1000);
        return judge();
    }

    private synchronized boolean judge() {
        outcomes.forEach((outcome, times) -> site.log("%s: %d times", outcome, times));
        long late = reached.stream()
                .filter(id -> thirdCrashNanos != 0
                        && sentNanos.get(id) - thirdCrashNanos > STABLE_WINDOW_MILLIS * 1_000_000)
                .count();
        boolean held = late <= ALLOWED_RETRIES;
        site.log(
                "%d crashes; the request reached servers in %d retries sent more than %d ms after the third, allowed %d",
                crashes.size(), late, STABLE_WINDOW_MILLIS, ALLOWED_RETRIES);
        site.log(held ? "BUDGET held" : "BUDGET broken");
        return held;
    }

    /** Runs the case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    final void runAndExit(String rule, int servers, int droppingServers) {
        int status = 2;
        try {
            status = run(rule, servers, droppingServers) ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            site.close();
        }
        System.exit(status);
    }
}
