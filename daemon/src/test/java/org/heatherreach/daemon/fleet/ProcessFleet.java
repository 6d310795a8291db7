package org.heatherreach.daemon.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.owner.OwnerMap;
import org.heatherreach.coordination.owner.PartId;
import org.heatherreach.standins.BackendTarget;
import org.heatherreach.standins.StandInMain;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.tools.ToolMain;

/** A store, backend servers and daemons, each a process on the loopback address. Any thread may send requests. */
final class ProcessFleet implements AutoCloseable {
    static final String SERVICE = "certdesk";
    static final int SLOTS = 2;

    private static final String HOST = TestProcesses.HOST;
    private static final int BOOKING_BYTES = 128;
    private static final int SERVERS = 2;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final TestProcesses processes = new TestProcesses("process-fleet");
    private final List<Process> daemons = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final List<Integer> serverPorts = new ArrayList<>();
    private final List<Integer> adminPorts = new ArrayList<>();
    private final int storePort = TestProcesses.freePort();
    private Process store;

    /** The result of a request as its caller sees it. */
    enum Kind {
        RIGHT,
        WRONG,
        NOT_RUN,
        UNKNOWN,
        BROKEN
    }

    /** The result of a request that was sent to a daemon. */
    record Answer(int daemon, Kind kind, String reason, String requestId) {}

    /** Starts every process and applies a first table with the operators' tool. */
    ProcessFleet(int count) throws Exception {
        startStore();
        for (int i = 0; i < SERVERS; i++) {
            serverPorts.add(TestProcesses.freePort());
            adminPorts.add(TestProcesses.freePort());
            processes.start(
                    "s" + i,
                    StandInMain.class,
                    "backend --queue 8 --slots " + SLOTS + " --port " + serverPorts.get(i) + " --admin-port "
                            + adminPorts.get(i));
        }
        IntStream.range(0, count).forEach(i -> peerPorts.add(TestProcesses.freePort()));
        for (int i = 0; i < count; i++) {
            startDaemon();
        }
        await("every daemon knows the others", () -> everyDaemon(i -> members(i) == count));
        int code = tool("apply " + table("first", "") + " --base 0");
        if (code != 0) {
            throw new AssertionError("the first table was not applied: " + code + ", see " + processes.directory());
        }
    }

    /** Starts the store, with the data of its previous run if there was one. */
    void startStore() throws IOException {
        String arguments = "store --port " + storePort + " --snapshot "
                + processes.directory().resolve("store.json");
        store = processes.start("store", StandInMain.class, arguments);
    }

    void killStore() throws InterruptedException {
        store.destroyForcibly().waitFor();
    }

    /** Starts one more daemon and returns its number. */
    int startDaemon() throws IOException {
        int index = daemons.size();
        ports.add(TestProcesses.freePort());
        if (index == peerPorts.size()) {
            peerPorts.add(TestProcesses.freePort());
        }
        List<String> servers = IntStream.range(0, SERVERS)
                .mapToObj(i -> "s" + i + '@' + HOST + ':' + serverPorts.get(i) + "/z" + i)
                .toList();
        daemons.add(processes.startDaemon(
                index,
                ports.get(index),
                peerPorts,
                storePort,
                "[addresses]\nkeep_ms = 2000",
                "[service:" + SERVICE + "]\nslots = " + SLOTS + "\nservers = " + String.join(", ", servers)));
        return index;
    }

    /** Writes a table with additional rows and returns its file. */
    Path table(String name, String rows) throws IOException {
        return Files.writeString(
                processes.directory().resolve(name + ".csv"),
                "row,weight,guarantee_percent,queue_limit,timeout_ms,floor_percent,slots,connections,retry_percent,"
                        + "service,rank\nservice:" + SERVICE + ",,,,,50," + SLOTS + ",300,10,,\n"
                        + "rank:urgent,1,0,1000,20000,,,,,,\nrank:standard,1,0,1000,20000,,,,,,\n"
                        + "rank:bulk,1,0,1000,30000,,,,,,\n" + rows);
    }

    /** Runs the operators' tool to its end and returns its exit code. */
    int tool(String arguments) throws Exception {
        String addresses =
                String.join(",", ports.stream().map(port -> HOST + ':' + port).toList());
        Process tool = processes.start(
                "tool",
                ToolMain.class,
                arguments,
                Map.of("HEATHERREACH_STORE", HOST + ':' + storePort, "HEATHERREACH_DAEMONS", addresses));
        if (!tool.waitFor(TestProcesses.AWAIT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("the tool did not end in time: " + arguments);
        }
        return tool.exitValue();
    }

    /** Returns the log of a daemon, one JSON document per line; fails if a line is not a JSON document. */
    List<JsonNode> log(int daemon) throws IOException {
        List<JsonNode> documents = new ArrayList<>();
        for (String line : Files.readAllLines(processes.log("d" + daemon))) {
            documents.add(JSON.readTree(line));
        }
        return documents;
    }

    /** Returns the output of all runs of the tool. */
    String toolOutput() throws IOException {
        return Files.readString(processes.log("tool"));
    }

    /** Returns the daemon that owns the only part of the service. */
    int owner() {
        RegionId region = new RegionId("default");
        OwnerMap owners = new OwnerMap();
        for (int i = 0; i < daemons.size(); i++) {
            owners.updateMember(new Member(
                    new DaemonId("d" + i),
                    new IncarnationId(i + 1),
                    0,
                    MemberState.ALIVE,
                    new ZoneId("z" + i),
                    region,
                    new MemberAddress(HOST, peerPorts.get(i)),
                    ports.get(i),
                    0));
        }
        Member owner =
                owners.owner(new PartId(region, new ServiceId(SERVICE), 0)).orElseThrow();
        return Integer.parseInt(owner.daemon().value().substring(1));
    }

    /** Returns how many daemons were started. */
    int size() {
        return daemons.size();
    }

    /** Returns the process of a daemon. */
    Process daemon(int daemon) {
        return daemons.get(daemon);
    }

    /** Sends a signal to a daemon. */
    void signal(int daemon, String signal) throws Exception {
        TestProcesses.signal(daemons.get(daemon), signal);
    }

    int members(int daemon) throws Exception {
        return get(ports.get(daemon), "/heatherreach/status").get("members").size();
    }

    String state(int daemon) throws Exception {
        return get(ports.get(daemon), "/heatherreach/status").get("state").asText();
    }

    long tableVersion(int daemon) throws Exception {
        return get(ports.get(daemon), "/heatherreach/status")
                .get("tableVersion")
                .asLong();
    }

    /** Returns how many slots of all servers are in use. */
    int slotsInUse() throws Exception {
        int sum = 0;
        for (int port : adminPorts) {
            sum += get(port, "/state").get("slotsInUse").asInt();
        }
        return sum;
    }

    /** Returns how often a key ran on all servers. */
    int runs(String key) throws Exception {
        int sum = 0;
        for (int port : adminPorts) {
            sum += get(port, "/runs").path(key).asInt();
        }
        return sum;
    }

    String issueKey(int daemon) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(ports.get(daemon), "/heatherreach/keys"))
                .POST(HttpRequest.BodyPublishers.ofString("{\"count\":1}"))
                .build();
        String body = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return JSON.readTree(body).get("keys").get(0).asText();
    }

    /** Sends a look-up, without the header that names the service if the path has a route in the table. */
    Answer lookUp(int daemon, BackendTarget target) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(ports.get(daemon), target.toString()));
        boolean routed = target.path().startsWith("/routed");
        return send(daemon, target, routed ? request : request.header("Heatherreach-Service", SERVICE), "");
    }

    /** Sends a booking; calls with the same key and service time send the same request. */
    Answer book(int daemon, String key, int serviceMillis) {
        BackendTarget target = new BackendTarget("/releases", serviceMillis, BOOKING_BYTES);
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(ports.get(daemon), target.toString()))
                .header("Heatherreach-Service", SERVICE)
                .header("Heatherreach-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(key));
        return send(daemon, target, request, key);
    }

    private Answer send(int daemon, BackendTarget target, HttpRequest.Builder builder, String body) {
        HttpRequest request =
                builder.timeout(Duration.ofSeconds(TestProcesses.AWAIT_SECONDS)).build();
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            String id = response.headers().firstValue("Heatherreach-Request-Id").orElse("");
            String reason = response.headers().firstValue("Heatherreach-Reason").orElse("");
            String outcome =
                    response.headers().firstValue("Heatherreach-Outcome").orElse("missing");
            byte[] expected = target.responseBody(request.method(), body.getBytes(StandardCharsets.UTF_8));
            boolean right = response.statusCode() == 200 && Arrays.equals(response.body(), expected);
            return switch (outcome) {
                case "backend" ->
                    new Answer(daemon, right ? Kind.RIGHT : Kind.WRONG, "status " + response.statusCode(), id);
                case "not-run" -> new Answer(daemon, Kind.NOT_RUN, reason, id);
                case "unknown" -> new Answer(daemon, Kind.UNKNOWN, reason, id);
                default -> new Answer(daemon, Kind.WRONG, "outcome " + outcome, id);
            };
        } catch (IOException e) {
            return new Answer(daemon, Kind.BROKEN, e.toString(), "");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private JsonNode get(int port, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri(port, path))
                .timeout(Duration.ofSeconds(5))
                .build();
        return JSON.readTree(
                client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private static URI uri(int port, String path) {
        return URI.create("http://" + HOST + ':' + port + path);
    }

    /** A condition on one daemon. */
    interface DaemonCondition {
        boolean holds(int daemon) throws Exception;
    }

    /** Returns whether the condition holds at every daemon that was started. */
    boolean everyDaemon(DaemonCondition condition) throws Exception {
        boolean holds = true;
        for (int i = 0; i < daemons.size(); i++) {
            holds &= condition.holds(i);
        }
        return holds;
    }

    void await(String what, TestProcesses.Condition condition) throws Exception {
        processes.await(what, condition);
    }

    @Override
    public void close() {
        processes.close();
    }
}
