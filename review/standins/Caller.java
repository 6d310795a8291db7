import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A client's attempt: one request on a new connection, which it leaves only after its deadline. */
final class Caller {
    static final String HOST = "shop.example";
    /** How long after its deadline a client closes a connection on which it cannot even send. */
    private static final long CLOSE_SLACK_MILLIS = 100;

    private static final AtomicLong IDS = new AtomicLong();
    private static final ScheduledExecutorService TIMER = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "client-deadlines");
        thread.setDaemon(true);
        return thread;
    });

    /** What came of an attempt; the status is 0 if the connection ended or nothing came. */
    record Result(String requestId, String daemon, long sentNanos, long endNanos, int status, String ending, String body) {
        long millis() {
            return (endNanos - sentNanos) / 1_000_000;
        }
    }

    private Caller() {}

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    static Result call(Daemon daemon, String method, String path, byte[] body, long deadlineMillis) {
        return call(daemon, newId(), method, path, body, deadlineMillis);
    }

    static Result call(Daemon daemon, String id, String method, String path, byte[] body, long deadlineMillis) {
        long sent = System.nanoTime();
        ScheduledFuture<?> closing = null;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", daemon.frontPort), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMillis);
            closing = TIMER.schedule(
                    () -> close(socket), deadlineMillis + CLOSE_SLACK_MILLIS, TimeUnit.MILLISECONDS);
            OutputStream out = socket.getOutputStream();
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nHeatherreach-Request-Attempt-Id: " + id
                    + "\r\nHeatherreach-Deadline-Ms: " + deadlineMillis + "\r\n"
                    + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            sent = System.nanoTime();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            Http.Message answer = new Http.Reader(socket.getInputStream()).readMessage(true, 1 << 24);
            if (answer == null) {
                return new Result(id, daemon.name, sent, System.nanoTime(), 0, "closed without an answer", "");
            }
            return new Result(
                    id,
                    daemon.name,
                    sent,
                    System.nanoTime(),
                    answer.status(),
                    answer.headers().getOrDefault("heatherreach-server-signature", "none"),
                    new String(answer.body(), StandardCharsets.UTF_8).strip());
        } catch (EOFException e) {
            return new Result(id, daemon.name, sent, System.nanoTime(), 0, "cut in the answer", "");
        } catch (java.net.SocketTimeoutException e) {
            return new Result(id, daemon.name, sent, System.nanoTime(), 0, "no answer until the deadline", "");
        } catch (IOException e) {
            return new Result(id, daemon.name, sent, System.nanoTime(), 0, String.valueOf(e.getMessage()), "");
        } finally {
            if (closing != null) {
                closing.cancel(false);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
