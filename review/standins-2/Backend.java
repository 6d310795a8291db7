import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A backend server as PROTOCOL.md describes it. Its answers are given by the case. */
final class Backend implements AutoCloseable {
    /** Runs a request and writes the answer. */
    interface Work {
        void run(Http request, OutputStream out) throws IOException;
    }

    final String id;
    final String service;
    final int slots;
    final long bornMillis = System.currentTimeMillis();
    /** The requests that this server has begun to run, by their ids. */
    final List<String> runs = new CopyOnWriteArrayList<>();

    private final ServerSocket listener;
    private final Work work;

    Backend(String id, String service, int slots, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.work = work;
        listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        start("accept", () -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    start("server", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http request;
            while ((request = Http.readHead(in)) != null) {
                request.readBody(in, false);
                String path = request.start.split(" ")[1];
                if (path.equals("/health")) {
                    answer(out, 200, "", "Heatherreach-Instance-Id: " + id + "\r\n", new byte[0]);
                } else if (request.header("Heatherreach-Expect-Instance") != null
                        && !id.equals(request.header("Heatherreach-Expect-Instance"))) {
                    answer(out, 421, requestId(request), "Heatherreach-Instance-Id: " + id + "\r\n", new byte[0]);
                } else {
                    runs.add(requestId(request));
                    work.run(request, out);
                }
            }
        } catch (IOException e) {
            // The daemon has closed the connection.
        }
    }

    static String requestId(Http request) {
        String known = request.header("Heatherreach-Request-Attempt-Id");
        return known == null ? "" : known;
    }

    static void success(Http request, OutputStream out, byte[] body) throws IOException {
        answer(out, 200, requestId(request), "Heatherreach-Server-Signature: s." + requestId(request) + "\r\n", body);
    }

    static void answer(OutputStream out, int status, String requestId, String headers, byte[] body) throws IOException {
        String idHeader = requestId.isEmpty() ? "" : "Heatherreach-Request-Attempt-Id: " + requestId + "\r\n";
        out.write(("HTTP/1.1 " + status + " Answer\r\n" + idHeader + headers + "Content-Length: " + body.length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
