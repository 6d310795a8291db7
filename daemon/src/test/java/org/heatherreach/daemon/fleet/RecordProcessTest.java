package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;
import org.heatherreach.standins.BackendServer;
import org.heatherreach.standins.BackendSettings;
import org.heatherreach.standins.StoreServer;
import org.heatherreach.standins.StoreSettings;
import org.heatherreach.state.table.TableCsv;
import org.heatherreach.transport.kv.HttpKeyValueStore;
import org.heatherreach.transport.kv.TableChange;
import org.heatherreach.transport.kv.TableStore;

import static org.assertj.core.api.Assertions.assertThat;

// Runs three daemons as processes; signals pause and resume the executor.
class RecordProcessTest {
    private static final int COUNT = 3;
    private static final long AWAIT_SECONDS = TestProcesses.AWAIT_SECONDS;
    private static final String HOST = TestProcesses.HOST;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Process> daemons = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();

    // Guards against an executor that dispatches held requests after a pause, which would make "not run" untrue.
    @Example
    void resumedExecutorDispatchesNoHeldRequest() throws Exception {
        try (BackendServer backend = new BackendServer(BackendSettings.ofSlots(1));
                StoreServer store = new StoreServer(StoreSettings.standard());
                TestProcesses processes = new TestProcesses("record-process")) {
            startDaemons(processes, backend, store);
            String held = issueKey();
            String asked = issueKey();
            CompletableFuture<HttpResponse<String>> occupant = send(0, null, 300_000);
            processes.await("the occupant runs", () -> backend.count("run") == 1);
            CompletableFuture<HttpResponse<String>> heldAnswer = send(0, held, 0);
            CompletableFuture<HttpResponse<String>> askedAnswer = send(0, asked, 0);
            // This reads the metrics, because a query for the outcome would bar a key whose request has not arrived.
            processes.await(
                    "the keyed requests are admitted",
                    () -> metrics(0).contains("heatherreach_once_execution_records 2"));
            signal("STOP");
            processes.await("the peers remove the executor", () -> members(1) == 2 && members(2) == 2);
            assertRefused(send(1, asked, 0).get(AWAIT_SECONDS, TimeUnit.SECONDS), "not-run", "key-barred");
            signal("CONT");
            occupant.cancel(true);
            assertRefused(heldAnswer.get(AWAIT_SECONDS, TimeUnit.SECONDS), "not-run", "activity-lapsed");
            assertRefused(askedAnswer.get(AWAIT_SECONDS, TimeUnit.SECONDS), "not-run", "activity-lapsed");
            assertThat(backend.runs()).isEmpty();
            processes.await("the executor has rejoined", () -> members(1) == COUNT && members(0) == COUNT);
            assertThat(send(1, held, 0).get(AWAIT_SECONDS, TimeUnit.SECONDS).statusCode())
                    .isEqualTo(200);
            assertRefused(send(0, asked, 0).get(AWAIT_SECONDS, TimeUnit.SECONDS), "not-run", "key-barred");
            assertThat(backend.runs()).containsOnlyKeys(held).containsEntry(held, 1);
        }
    }

    // Guards against a second run, or the outcome "not run", for a key whose executor is paused while it runs.
    @Example
    void outcomeIsUnknownWhileTheExecutorIsPausedAfterDispatch() throws Exception {
        try (BackendServer backend = new BackendServer(BackendSettings.ofSlots(1));
                StoreServer store = new StoreServer(StoreSettings.standard());
                TestProcesses processes = new TestProcesses("record-process")) {
            startDaemons(processes, backend, store);
            String key = issueKey();
            CompletableFuture<HttpResponse<String>> first = send(0, key, 1_000);
            processes.await("the request runs", () -> backend.runs().containsKey(key));
            signal("STOP");
            processes.await("the peers remove the executor", () -> members(1) == 2);
            assertRefused(send(1, key, 1_000).get(AWAIT_SECONDS, TimeUnit.SECONDS), "unknown", "executor-unreachable");
            assertThat(outcome(1, key)).isEqualTo("unknown");
            signal("CONT");
            HttpResponse<String> answer = first.get(AWAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(answer.statusCode()).isEqualTo(200);
            processes.await("the outcome is recorded", () -> outcome(1, key).equals("recorded"));
            HttpResponse<String> again = send(1, key, 1_000).get(AWAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(again.body()).isEqualTo(answer.body());
            assertThat(backend.runs()).containsEntry(key, 1);
        }
    }

    private void startDaemons(TestProcesses processes, BackendServer backend, StoreServer store) throws Exception {
        applyTable(store);
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            ports.add(TestProcesses.freePort());
            peerPorts.add(TestProcesses.freePort());
        }
        String service = "[service:certdesk]\nslots = 1\nservers = s1@" + HOST + ':' + backend.port() + "/z0";
        for (int i = 0; i < COUNT; i++) {
            daemons.add(processes.startDaemon(i, ports.get(i), peerPorts, store.port(), service));
        }
        processes.await("every daemon knows the others and the table", () -> {
            boolean ready = true;
            for (int i = 0; i < COUNT; i++) {
                ready &= members(i) == COUNT
                        && get(i, "/heatherreach/status").get("tableVersion").asLong() > 0;
            }
            return ready;
        });
    }

    private static void applyTable(StoreServer server) {
        String csv = String.join(
                "\n",
                "row,weight,guarantee_percent,queue_limit,timeout_ms,floor_percent,slots,connections,retry_percent",
                "service:certdesk,,,,,0,1,300,10",
                "rank:urgent,1,0,1000,5000,,,,",
                "rank:standard,1,0,1000,10000,,,,",
                "rank:bulk,1,0,1000,30000,,,,",
                "");
        try (HttpKeyValueStore store = new HttpKeyValueStore(
                List.of(new InetSocketAddress(HOST, server.port())),
                Duration.ofSeconds(5),
                Duration.ofSeconds(3),
                new Random(1))) {
            TableChange change =
                    new TableChange("c1", "test", "", 0, 0, TableCsv.read(csv).get());
            assertThat(new TableStore(store, new Random(2))
                            .apply(change)
                            .block()
                            .isRight())
                    .isTrue();
        }
    }

    private String issueKey() throws Exception {
        HttpResponse<String> answer = client.send(
                HttpRequest.newBuilder(uri(0, "/heatherreach/keys"))
                        .POST(HttpRequest.BodyPublishers.ofString("{\"count\":1}"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        return JSON.readTree(answer.body()).get("keys").get(0).asText();
    }

    private CompletableFuture<HttpResponse<String>> send(int daemon, String key, int serviceMillis) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(daemon, "/releases"))
                .header("Heatherreach-Service", "certdesk")
                .header("Heatherreach-Timeout-Ms", "120000")
                .header("Standin-Service-Ms", Integer.toString(serviceMillis))
                .POST(HttpRequest.BodyPublishers.ofString("batch 7"));
        if (key != null) {
            request.header("Heatherreach-Key", key);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private String outcome(int daemon, String key) throws Exception {
        return get(daemon, "/heatherreach/outcome/" + key).get("outcome").asText();
    }

    private int members(int daemon) throws Exception {
        return get(daemon, "/heatherreach/status").get("members").size();
    }

    private String metrics(int daemon) throws Exception {
        return client.send(
                        HttpRequest.newBuilder(uri(daemon, "/heatherreach/metrics"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private JsonNode get(int daemon, String path) throws Exception {
        return JSON.readTree(
                client.send(HttpRequest.newBuilder(uri(daemon, path)).build(), HttpResponse.BodyHandlers.ofString())
                        .body());
    }

    private URI uri(int daemon, String path) {
        return URI.create("http://" + HOST + ':' + ports.get(daemon) + path);
    }

    /** Sends a signal to the executor, which is the first daemon. */
    private void signal(String signal) throws Exception {
        TestProcesses.signal(daemons.get(0), signal);
    }

    private static void assertRefused(HttpResponse<String> answer, String outcome, String reason) {
        assertThat(answer.headers().firstValue("Heatherreach-Reason")).hasValue(reason);
        assertThat(answer.headers().firstValue("Heatherreach-Outcome")).hasValue(outcome);
    }
}
