package org.heatherreach.standins;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import net.jqwik.api.Example;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class BackendServerTest {
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    // Guards against a stand-in whose responses can't be told apart, which would hide mixed-up responses.
    @Example
    void bodyFollowsFromItsRequestAlone() throws Exception {
        try (BackendServer server = new BackendServer(BackendSettings.ofSlots(2))) {
            HttpResponse<byte[]> first = get(server, "/stock?id=1&size=1000");
            assertThat(first.statusCode()).isEqualTo(200);
            assertThat(first.body()).isEqualTo(ResponseBody.of("GET", "/stock?id=1&size=1000", new byte[0], 1000));
            assertThat(first.headers().firstValue("Standin-Sha256")).hasValue(ResponseBody.sha256(first.body()));
            assertThat(get(server, "/stock?id=2&size=1000").body()).isNotEqualTo(first.body());
        }
    }

    // Guards against a server that runs more requests than it has slots or sheds without the documented headers.
    @Example
    void shedsBeyondSlotsAndQueue() throws Exception {
        try (BackendServer server = new BackendServer(new BackendSettings("127.0.0.1", 0, 0, 1, 1, 10, 1, 0, 1))) {
            CompletableFuture<HttpResponse<byte[]>> running = getAsync(server, "/a?service_ms=300000");
            await(() -> server.count("run") == 1);
            CompletableFuture<HttpResponse<byte[]>> queued = getAsync(server, "/b");
            await(() -> server.count("request") == 2);
            HttpResponse<byte[]> shed = get(server, "/c");
            assertThat(shed.statusCode()).isEqualTo(503);
            assertThat(shed.headers().firstValue("Backend-Shed")).hasValue("true");
            assertThat(shed.headers().firstValue("Retry-After")).isPresent();
            assertThat(server.count("run")).isEqualTo(1);
            // The caller gives up, so the slot must become free for the queued request.
            running.cancel(true);
            await(() -> server.count("cancelled") == 1);
            assertThat(queued.get().statusCode()).isEqualTo(200);
        }
    }

    // Guards against a slot that is released twice when a request that had to queue is cancelled while it runs.
    @Example
    void cancelledRequestReleasesItsSlotOnce() {
        SlotGate gate = new SlotGate(1, 1);
        gate.acquire().block();
        Disposable queued = gate.acquire()
                .flatMap(taken -> Mono.never().doFinally(signal -> gate.release()))
                .subscribe();
        assertThat(gate.queued()).isEqualTo(1);
        gate.release();
        assertThat(gate.inUse()).isEqualTo(1);
        queued.dispose();
        assertThat(gate.inUse()).isZero();
    }

    // Guards against miscounted runs, on which every at-most-once test relies.
    @Example
    void countsRunsByExecutionKey() throws Exception {
        try (BackendServer server = new BackendServer(BackendSettings.ofSlots(2))) {
            HttpRequest request = HttpRequest.newBuilder(uri(server, "/order"))
                    .header("Heatherreach-Key", "k1")
                    .POST(HttpRequest.BodyPublishers.ofString("hide"))
                    .build();
            client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            assertThat(server.runs()).containsEntry("k1", 2);
            String admin = client.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.adminPort() + "/runs"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
            assertThat(admin).isEqualTo("{\"k1\":2}");
        }
    }

    // Guards against faults that the HTTP library repairs on the way, such as a truncated body in an intact frame.
    @Example
    void damagesBodiesOnTheWire() throws Exception {
        try (BackendServer server = new BackendServer(BackendSettings.ofSlots(5))) {
            switchFaults(server, "{\"truncateShare\":1}");
            String truncated = raw(server, "GET /x?size=100 HTTP/1.1\r\nHost: a\r\n\r\n", true);
            assertThat(truncated).contains("content-length: 100");
            assertThat(bodyBytes(truncated)).isEqualTo(50);
            switchFaults(server, "{\"truncateShare\":0,\"wrongLengthShare\":1}");
            String wrong = raw(server, "GET /x?size=100 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", true);
            assertThat(wrong).contains("content-length: 50");
            assertThat(bodyBytes(wrong)).isEqualTo(100);
            switchFaults(server, "{\"wrongLengthShare\":0,\"stallShare\":1}");
            String stalled = raw(server, "GET /x?size=100 HTTP/1.1\r\nHost: a\r\n\r\n", false);
            assertThat(stalled).contains("content-length: 100");
            await(() -> server.count("cancelled") >= 1);
            switchFaults(server, "{\"stallShare\":0,\"errorShare\":1,\"draining\":true}");
            HttpResponse<byte[]> error = get(server, "/x");
            assertThat(error.statusCode()).isEqualTo(500);
            assertThat(error.headers().firstValue("Backend-Draining")).hasValue("true");
        }
    }

    // Guards against a crash that leaves connections open or a server that never returns.
    @Example
    void crashDropsEveryConnectionAndReturnsLater() throws Exception {
        try (BackendServer server = new BackendServer(BackendSettings.ofSlots(5))) {
            switchFaults(server, "{\"crashDownMillis\":300}");
            CompletableFuture<HttpResponse<byte[]>> other = getAsync(server, "/a?service_ms=300000");
            await(() -> server.count("run") == 1);
            HttpRequest marked = HttpRequest.newBuilder(uri(server, "/b"))
                    .header("Standin-Crash", "true")
                    .POST(HttpRequest.BodyPublishers.ofString("x"))
                    .build();
            assertThatThrownBy(() -> client.send(marked, HttpResponse.BodyHandlers.ofByteArray()))
                    .isInstanceOf(IOException.class);
            assertThatThrownBy(other::get).hasCauseInstanceOf(IOException.class);
            await(() -> answers(server));
            assertThat(server.count("crash")).isEqualTo(1);
        }
    }

    // Guards against a deadline header without effect, and against lies of the probes that do not show.
    @Example
    void honoursDeadlinesAndLies() throws Exception {
        try (BackendServer server = new BackendServer(BackendSettings.ofSlots(5))) {
            HttpRequest late = HttpRequest.newBuilder(uri(server, "/a?service_ms=300000"))
                    .header("Heatherreach-Timeout-Ms", "20")
                    .build();
            assertThat(client.send(late, HttpResponse.BodyHandlers.ofByteArray())
                            .statusCode())
                    .isEqualTo(504);
            assertThat(get(server, "/health").statusCode()).isEqualTo(200);
            switchFaults(server, "{\"healthLie\":500,\"loadLie\":7}");
            assertThat(get(server, "/health").statusCode()).isEqualTo(500);
            assertThat(new String(get(server, "/load").body(), StandardCharsets.UTF_8))
                    .contains("\"inUse\":7");
            assertThatThrownBy(() -> switchFaults(server, "{\"slowShar\":1}")).hasMessageContaining("slowShar");
        }
    }

    private void switchFaults(BackendServer server, String json) throws Exception {
        HttpResponse<String> response = client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.adminPort() + "/faults"))
                        .POST(HttpRequest.BodyPublishers.ofString(json))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 200) {
            throw new IOException(response.body());
        }
    }

    private boolean answers(BackendServer server) {
        try {
            return get(server, "/c").statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int bodyBytes(String response) {
        return response.length() - response.indexOf("\r\n\r\n") - 4;
    }

    /** Returns what the server sends, up to the end of the connection or the first half body. */
    private static String raw(BackendServer server, String request, boolean untilClosed) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = socket.getInputStream();
            StringBuilder text = new StringBuilder();
            try {
                for (int next = input.read(); next >= 0; next = input.read()) {
                    text.append((char) next);
                    if (!untilClosed && text.indexOf("\r\n\r\n") > 0 && bodyBytes(text.toString()) == 50) {
                        break;
                    }
                }
            } catch (SocketException e) {
                // A reset ends the response as a close does.
                return text.toString();
            }
            return text.toString();
        }
    }

    private HttpResponse<byte[]> get(BackendServer server, String path) throws IOException, InterruptedException {
        return client.send(HttpRequest.newBuilder(uri(server, path)).build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    private CompletableFuture<HttpResponse<byte[]>> getAsync(BackendServer server, String path) {
        return client.sendAsync(
                HttpRequest.newBuilder(uri(server, path)).build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    private static URI uri(BackendServer server, String path) {
        return URI.create("http://127.0.0.1:" + server.port() + path);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int attempt = 0; attempt < 1000 && !condition.getAsBoolean(); attempt++) {
            Thread.sleep(10);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
