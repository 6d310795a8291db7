package org.heatherreach.standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Checks the stand-in against request and response documents in the published form of the etcd v3 JSON gateway. */
class StoreServerTest {
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    // Guards against shapes that differ from the published gateway, which a client of our own would not notice.
    @Example
    void speaksTheGatewayShapes() throws Exception {
        try (StoreServer store = new StoreServer(StoreSettings.standard())) {
            assertThat(call(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"YmFy\"}")
                            .at("/header/revision")
                            .asText())
                    .isEqualTo("2");
            JsonNode range = call(store, "/v3/kv/range", "{\"key\":\"Zm9v\"}");
            assertThat(range.get("kvs").get(0))
                    .isEqualTo(Json.read("{\"key\":\"Zm9v\",\"create_revision\":\"2\",\"mod_revision\":\"2\","
                            + "\"version\":\"1\",\"value\":\"YmFy\"}"));
            assertThat(range.get("count").asText()).isEqualTo("1");
            String swap = "{\"compare\":[{\"result\":\"EQUAL\",\"target\":\"MOD\",\"key\":\"Zm9v\","
                    + "\"mod_revision\":\"2\"}],\"success\":[{\"request_put\":{\"key\":\"Zm9v\",\"value\":\"Yg==\"}}],"
                    + "\"failure\":[{\"request_range\":{\"key\":\"Zm9v\"}}]}";
            assertThat(call(store, "/v3/kv/txn", swap).get("succeeded").asBoolean())
                    .isTrue();
            JsonNode lost = call(store, "/v3/kv/txn", swap);
            assertThat(lost.has("succeeded")).isFalse();
            assertThat(lost.at("/responses/0/response_range/kvs/0/mod_revision").asText())
                    .isEqualTo("3");
            assertThat(call(store, "/v3/kv/deleterange", "{\"key\":\"Zm8=\",\"range_end\":\"Zm9w\"}")
                            .get("deleted")
                            .asText())
                    .isEqualTo("1");
        }
    }

    // Guards against leases that outlive their expiry and keys that outlive their lease.
    @Example
    void leasesEndWithTheirKeys() throws Exception {
        try (StoreServer store = new StoreServer(StoreSettings.standard())) {
            String id =
                    call(store, "/v3/lease/grant", "{\"TTL\":\"60\"}").get("ID").asText();
            call(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"YmFy\",\"lease\":\"" + id + "\"}");
            JsonNode kept = call(store, "/v3/lease/keepalive", "{\"ID\":\"" + id + "\"}");
            assertThat(kept.at("/result/TTL").asText()).isEqualTo("60");
            assertThat(store.expireAllLeases()).isEqualTo(1);
            assertThat(call(store, "/v3/kv/range", "{\"key\":\"Zm9v\"}").has("kvs"))
                    .isFalse();
            assertThat(call(store, "/v3/lease/keepalive", "{\"ID\":\"" + id + "\"}")
                            .at("/result/TTL")
                            .isMissingNode())
                    .isTrue();
        }
    }

    // Guards against watches that miss events between the read and the start of the watch.
    @Example
    void watchStreamsFromItsStartRevision() throws Exception {
        try (StoreServer store = new StoreServer(StoreSettings.standard())) {
            call(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"MQ==\"}");
            HttpResponse<InputStream> response = client.send(
                    request(
                            store,
                            "/v3/watch",
                            "{\"create_request\":{\"key\":\"Zm9v\",\"start_revision\":\"2\","
                                    + "\"progress_notify\":true}}"),
                    HttpResponse.BodyHandlers.ofInputStream());
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
                assertThat(Json.read(lines.readLine()).at("/result/created").asBoolean())
                        .isTrue();
                assertThat(Json.read(lines.readLine())
                                .at("/result/events/0/kv/value")
                                .asText())
                        .isEqualTo("MQ==");
                call(store, "/v3/kv/deleterange", "{\"key\":\"Zm9v\"}");
                JsonNode next = Json.read(lines.readLine());
                while (!next.at("/result/events").isArray()) {
                    next = Json.read(lines.readLine());
                }
                assertThat(next.at("/result/events/0/type").asText()).isEqualTo("DELETE");
            }
        }
    }

    // Guards against faults without effect: each is what a test of the product relies on.
    @Example
    void faultsAndLimitsTakeEffect() throws Exception {
        try (StoreServer store = new StoreServer(new StoreSettings("127.0.0.1", 0, 0, 1, 2000, 1000))) {
            store.setFaults(new StoreFaults(StoreFaults.Outage.NONE, 0, 1, false));
            assertThatThrownBy(() -> call(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"MQ==\"}"))
                    .isInstanceOf(IOException.class);
            assertThat(store.keys()).containsExactly("foo");
            // The rate is one write per second, so of 50 writes in a row some are refused.
            int refused = 0;
            for (int i = 0; i < 50; i++) {
                refused += status(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"MQ==\"}") == 429 ? 1 : 0;
            }
            assertThat(refused).isPositive();
            store.setFaults(new StoreFaults(StoreFaults.Outage.UNAVAILABLE, 0, 0, false));
            assertThat(status(store, "/v3/kv/range", "{\"key\":\"Zm9v\"}")).isEqualTo(503);
            assertThat(store.calls("/v3/kv/range")).isEqualTo(1);
            store.setFaults(new StoreFaults(StoreFaults.Outage.DISCONNECT, 0, 0, false));
            assertThatThrownBy(() -> call(store, "/v3/kv/range", "{\"key\":\"Zm9v\"}"))
                    .isInstanceOf(IOException.class);
        }
        try (StoreServer store = new StoreServer(StoreSettings.standard())) {
            String large = Base64.getEncoder().encodeToString(new byte[KeyValueState.VALUE_LIMIT_BYTES]);
            assertThat(status(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"" + large + "\"}"))
                    .isEqualTo(200);
            String tooLarge = Base64.getEncoder().encodeToString(new byte[KeyValueState.VALUE_LIMIT_BYTES + 1]);
            assertThat(status(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"" + tooLarge + "\"}"))
                    .isEqualTo(400);
        }
    }

    // Guards against an acknowledged write, a lease or a revision that is lost with the process.
    @Example
    void snapshotKeepsDataAndRevisionsAcrossProcesses() throws Exception {
        Path file = Files.createTempDirectory("store").resolve("snapshot.json");
        StoreSettings settings = new StoreSettings("127.0.0.1", 0, 0, 300, 2000, 1000, Optional.of(file));
        JsonNode before;
        try (StoreServer store = new StoreServer(settings)) {
            call(store, "/v3/lease/grant", "{\"TTL\":\"60\",\"ID\":\"7\"}");
            call(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"MQ==\"}");
            call(store, "/v3/kv/put", "{\"key\":\"Zm9v\",\"value\":\"YmFy\",\"lease\":\"7\"}");
            before = call(store, "/v3/kv/range", "{\"key\":\"Zm9v\"}");
        }
        try (StoreServer store = new StoreServer(settings)) {
            assertThat(call(store, "/v3/kv/range", "{\"key\":\"Zm9v\"}")).isEqualTo(before);
            assertThat(call(store, "/v3/kv/put", "{\"key\":\"Zm8=\",\"value\":\"MQ==\"}")
                            .at("/header/revision")
                            .asText())
                    .isEqualTo("4");
            assertThat(store.expireAllLeases()).isEqualTo(1);
            assertThat(store.keys()).containsExactly("fo");
            assertThat(call(store, "/v3/kv/range", "{\"key\":\"Zm9v\"}").has("kvs"))
                    .isFalse();
        }
    }

    private JsonNode call(StoreServer store, String path, String body) throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(request(store, path, body), HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        return Json.read(response.body());
    }

    private int status(StoreServer store, String path, String body) throws IOException, InterruptedException {
        return client.send(request(store, path, body), HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    private static HttpRequest request(StoreServer store, String path, String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + store.port() + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }
}
