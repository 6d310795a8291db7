package org.heatherreach.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Option;
import net.jqwik.api.Example;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.table.ServiceLimits;
import org.heatherreach.transport.http.BackendServer;
import org.heatherreach.transport.http.ProxyLimits;
import org.heatherreach.transport.http.ProxyMode;

import static org.assertj.core.api.Assertions.assertThat;

class ShutdownTest {
    private static final int CALLERS = 12;
    private static final ServiceId SERVICE = new ServiceId("shop");

    // Guards against a graceful shutdown that aborts or refuses a request of a caller that honours the address list.
    @Example
    void losesNoRequestOfACallerThatFollowsTheAddressList() throws Exception {
        AtomicInteger answered = new AtomicInteger();
        ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
        try (ServerSocket backend = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"))) {
            start(() -> acceptAll(backend));
            DaemonSettings settings = settings(backend.getLocalPort());
            HttpDaemon daemon = new HttpDaemon(settings, StandaloneParts.of(settings));
            CountDownLatch firstAnswers = new CountDownLatch(CALLERS);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(start(() -> runCaller(daemon.port(), firstAnswers, answered, failures)));
            }
            firstAnswers.await();
            daemon.shutDown();
            for (Thread caller : callers) {
                caller.join();
            }
        }
        assertThat(failures).isEmpty();
        assertThat(answered.get()).isGreaterThan(CALLERS);
    }

    private static void runCaller(
            int port, CountDownLatch firstAnswers, AtomicInteger answered, ConcurrentLinkedQueue<String> failures) {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        long keepUntilEpochMillis = 0;
        try {
            while (true) {
                if (System.currentTimeMillis() >= keepUntilEpochMillis) {
                    String addresses =
                            get(client, port, "/heatherreach/addresses").body();
                    if (!addresses.contains("\"port\":" + port)) {
                        return;
                    }
                    keepUntilEpochMillis =
                            Long.parseLong(addresses.replaceAll(".*keepUntilEpochMillis\":(\\d+).*\\s*", "$1"));
                }
                HttpResponse<String> response = get(client, port, "/work");
                if (!"done".equals(response.body())) {
                    failures.add(
                            response.statusCode() + " " + response.headers().map());
                }
                answered.incrementAndGet();
                firstAnswers.countDown();
            }
        } catch (IOException | InterruptedException e) {
            // A failure, because a leaving daemon must answer address requests as long as callers may keep its address.
            failures.add(e.toString());
            firstAnswers.countDown();
        }
    }

    private static HttpResponse<String> get(HttpClient client, int port, String path)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void acceptAll(ServerSocket backend) {
        try {
            while (true) {
                Socket socket = backend.accept();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test closed the socket at its end.
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            int matched = 0;
            int next = socket.getInputStream().read();
            while (next >= 0) {
                matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
                if (matched == 4) {
                    matched = 0;
                    Thread.sleep(ThreadLocalRandom.current().nextInt(60));
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
                                    .getBytes(StandardCharsets.US_ASCII));
                }
                next = socket.getInputStream().read();
            }
        } catch (IOException | InterruptedException e) {
            // The daemon closed the connection.
        }
    }

    private static DaemonSettings settings(int backendPort) {
        BackendServer server = new BackendServer(
                new ServerId("s1"), new InetSocketAddress("127.0.0.1", backendPort), new ZoneId("z1"));
        ServiceSettings service =
                new ServiceSettings(new ServiceLimits(SERVICE, 50, 100, 100, 10), Map.of(), List.of(server));
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 0);
        return new DaemonSettings(
                new DaemonId("d1"),
                new ZoneId("z1"),
                new RegionId("r1"),
                ProxyMode.FLEET,
                listen,
                listen,
                2,
                1024,
                1,
                List.of(),
                400,
                300,
                ProxyLimits.defaults(),
                LogFormat.HUMAN,
                LogLevel.ERROR,
                Map.of(SERVICE, service),
                Map.of("/", SERVICE),
                Option.none());
    }
}
